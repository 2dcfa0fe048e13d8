//! Orders to engines: announced in the log and sent under the lease, one at a time for each engine.

mod drive;
mod officer;
mod planner;

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::RequestBuilder;
use serde::Deserialize;
use serde::Serialize;

use crate::fold::orders::Action;
use crate::id::Offset;

pub use self::drive::OrderState;
pub use self::drive::Step;
pub use self::drive::next_step;
pub use self::officer::Controller;

/// Maximum time for an engine to accept an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Order as it is sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: offset of the lease record under which the order is sent.
    pub token: Offset,
    /// Offset of the intent that announced the order; the same on every attempt.
    pub intent: Option<Offset>,
    /// Action to take; if absent, the engine only records the token.
    pub action: Option<Action>,
}

/// Sends an order and returns `true` if the engine accepted it.
pub fn send(address: SocketAddr, order: &Order) -> bool {
    let body = serde_json::to_string(order).expect("an order is JSON");
    RequestBuilder::new(Method::POST, format!("http://{address}/orders"))
        .connect_timeout(ORDER_TIMEOUT)
        .read_timeout(ORDER_TIMEOUT)
        .timeout(ORDER_TIMEOUT)
        .header("content-type", "application/json")
        .text(body)
        .send()
        .is_ok_and(|response| response.is_success())
}

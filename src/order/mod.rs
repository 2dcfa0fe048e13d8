//! Orders to engines: announced in the log, given under the lease, one at a time.

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
pub use self::drive::drive;
pub use self::officer::Controller;

/// Longest wait for an engine to take an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// An order as an engine gets it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: offset of the lease record that it is given under.
    pub token: Offset,
    /// Offset of the intent that announced it; the same on every try.
    pub intent: Option<Offset>,
    /// What to do; nothing but take note of the token if absent.
    pub action: Option<Action>,
}

/// Sends an order; returns whether the engine took it.
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

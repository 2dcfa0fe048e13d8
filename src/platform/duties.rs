//! Calls to the platform that one host at a time makes for all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::RequestBuilder;
use compact_str::CompactString;
use serde::Serialize;
use serde_json::json;

use crate::id::AccountId;
use crate::id::DomainId;
use crate::id::FencingToken;
use crate::id::HostId;
use crate::id::ServiceId;

/// Field with the name of the host that holds the duty.
const HOLDER: &str = "pistachiohall-lease-holder";
/// Field with the fencing token of the holder's lease.
const FENCING_TOKEN: &str = "pistachiohall-fencing-token";
/// Path at which usage is reported.
const USAGE_PATH: &str = "/usage";
/// Path at which upstreams are ordered.
const CAPACITY_PATH: &str = "/scale";
/// Status of a call whose fencing token is lower than one already seen, or of an order for upstreams
/// of which there are none.
const STATUS_CONFLICT: u16 = 409;
/// Timeout of a call: connecting, reading, and the whole exchange.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Duty of one host at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// Reports what client accounts have used.
    Usage,
    /// Orders upstreams.
    Capacity,
}

/// Parses the names of duties, separated by commas; those that this version doesn't know are left out,
/// since new ones may come.
///
/// ```
/// use pistachiohall::platform::duties;
/// use pistachiohall::platform::duties::Duty;
/// assert_eq!(duties::parse("usage_report, autoscale"), Ok(vec![Duty::Usage, Duty::Capacity]));
/// assert_eq!(duties::parse("other"), Ok(Vec::new()));
/// ```
///
/// # Errors
///
/// Never; the type is that of all parsers of settings.
pub fn parse(text: &str) -> Result<Vec<Duty>, &'static str> {
    let duty = |name: &str| match name.trim() {
        "usage_report" => Some(Duty::Usage),
        "autoscale" => Some(Duty::Capacity),
        _ => None,
    };
    Ok(text.split(',').filter_map(duty).collect())
}

/// Authority under which a call is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Authority {
    /// Host that holds the lease.
    pub holder: HostId,
    /// Fencing token of the lease.
    pub fencing_token: FencingToken,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The platform has carried the call out.
    Accepted,
    /// The platform has seen a higher fencing token, or has no such upstreams now.
    Conflict,
    /// The platform refused the call with this status and has not carried it out.
    Refused(u16),
    /// No byte of the call left this host.
    NotSent(CompactString),
    /// No response came; the call may be carried out, also seconds later.
    Unknown(CompactString),
}

/// Number of requests of each account that upstreams began to run within a window.
pub type Counts = BTreeMap<AccountId, u64>;

/// Number of a window: window `k` begins `k` window lengths after the Unix epoch.
pub type WindowId = u64;

/// Order for a number of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CapacityOrder {
    /// Service.
    pub service: ServiceId,
    /// Failure domain.
    #[serde(rename = "zone")]
    pub domain: DomainId,
    /// Number of upstreams of the kind.
    pub desired: usize,
    /// Whether the order is for upstreams that may be withdrawn.
    #[serde(rename = "spot", skip_serializing_if = "std::ops::Not::not")]
    pub is_spot: bool,
}

/// Client of the platform.
#[derive(Debug, Clone, Copy)]
pub struct Client {
    address: SocketAddr,
}

impl Client {
    /// Returns a client of the platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Client { address }
    }

    /// Reports what each account has used within a window.
    pub fn report_usage(&self, by: &Authority, window: WindowId, counts: &Counts) -> Outcome {
        let body = json!({"window_id": window, "counts": counts});
        self.post(USAGE_PATH, by, body.to_string())
    }

    /// Orders upstreams.
    pub fn order_capacity(&self, by: &Authority, order: &CapacityOrder) -> Outcome {
        match serde_json::to_string(order) {
            Ok(body) => self.post(CAPACITY_PATH, by, body),
            Err(cause) => Outcome::NotSent(cause.to_string().into()),
        }
    }

    fn post(&self, path: &str, by: &Authority, body: String) -> Outcome {
        let url = format!("http://{}{path}", self.address);
        let request = RequestBuilder::new(Method::POST, url)
            .connect_timeout(TIMEOUT)
            .timeout(TIMEOUT)
            .read_timeout(TIMEOUT)
            .header(HOLDER, by.holder.as_str())
            .header(FENCING_TOKEN, by.fencing_token.to_string())
            .header("content-type", "application/json")
            .text(body);
        match request.send() {
            Ok(response) => match response.status().as_u16() {
                status if (200..300).contains(&status) => Outcome::Accepted,
                STATUS_CONFLICT => Outcome::Conflict,
                status => Outcome::Refused(status),
            },
            Err(cause) if crate::upstream::is_before_first_byte(&cause) => {
                Outcome::NotSent(cause.to_string().into())
            }
            Err(cause) => Outcome::Unknown(cause.to_string().into()),
        }
    }
}

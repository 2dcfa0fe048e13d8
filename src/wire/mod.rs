//! Responses as passed between filters and hosts.

use std::sync::Arc;

use compact_str::CompactString;

use crate::problem::Outcome;
use crate::problem::Problem;

/// A full response held in memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: CompactString,
    /// Body.
    pub body: Arc<[u8]>,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Seconds after which a retry may succeed.
    pub retry_after_s: Option<u64>,
}

impl Reply {
    /// Returns the response of an upstream that ran the request.
    ///
    /// ```
    /// use pistachiohall::wire::Reply;
    /// assert_eq!(Reply::ran(200, "text/plain", b"ok".to_vec()).status, 200);
    /// ```
    pub fn ran(status: u16, content_type: &str, body: Vec<u8>) -> Self {
        Reply {
            status,
            content_type: content_type.into(),
            body: body.into(),
            outcome: Outcome::Ran,
            retry_after_s: None,
        }
    }

    /// Returns a JSON response of this system itself.
    pub fn json(status: u16, value: &serde_json::Value) -> Self {
        Reply::ran(status, "application/json", value.to_string().into_bytes())
    }
}

impl From<Problem> for Reply {
    fn from(problem: Problem) -> Self {
        let body = serde_json::to_vec(&problem).unwrap_or_default();
        Reply {
            status: problem.status,
            content_type: "application/problem+json".into(),
            body: body.into(),
            outcome: problem.outcome,
            retry_after_s: problem.retry_after_s,
        }
    }
}

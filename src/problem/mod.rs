//! Refusals and failures as reported to callers.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// Outcome of a request that got no full response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No upstream acted on it, and none will.
    NotRun,
    /// An upstream acted on it.
    Ran,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Returns the text sent to callers.
    pub fn word(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Ran => "ran",
            Outcome::Unknown => "unknown",
        }
    }
}

/// A refusal or failure in the form of RFC 9457.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Short text, the same for all problems of a kind.
    pub title: CompactString,
    /// Explanation of this problem.
    pub detail: String,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Seconds after which a retry may succeed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u64>,
}

impl Problem {
    /// Returns a problem for a request that did not run.
    ///
    /// ```
    /// use pistachiohall::problem::{Outcome, Problem};
    /// let problem = Problem::not_run(404, "unknown service", "no service `x`");
    /// assert_eq!(problem.outcome, Outcome::NotRun);
    /// ```
    pub fn not_run<T>(status: u16, title: &str, detail: T) -> Self
    where
        T: Into<String>,
    {
        Problem {
            status,
            title: title.into(),
            detail: detail.into(),
            outcome: Outcome::NotRun,
            retry_after_s: None,
        }
    }

    /// Returns a problem for a request that may or may not have run.
    pub fn unknown<T>(detail: T) -> Self
    where
        T: Into<String>,
    {
        Problem {
            outcome: Outcome::Unknown,
            ..Problem::not_run(502, "outcome unknown", detail)
        }
    }

    /// Returns a problem for a request that ran without giving a full response.
    pub fn ran<T>(detail: T) -> Self
    where
        T: Into<String>,
    {
        Problem {
            outcome: Outcome::Ran,
            ..Problem::not_run(502, "answer lost", detail)
        }
    }

    /// Sets the time after which to retry, rounded up to whole seconds.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_s = Some(wait.as_secs() + u64::from(wait.subsec_nanos() > 0));
        self
    }
}

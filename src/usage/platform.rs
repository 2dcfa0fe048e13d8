//! The platform as the reporter sees it, so that tests can stand in for it.

use crate::platform::duties::Authority;
use crate::platform::duties::Client;
use crate::platform::duties::Counts;
use crate::platform::duties::Outcome;
use crate::platform::duties::WindowId;

/// Takes reports.
pub trait Platform: Send + 'static {
    /// Reports what each account has used within a window.
    fn report_usage(&self, by: &Authority, window: WindowId, counts: &Counts) -> Outcome;
}

impl Platform for Client {
    fn report_usage(&self, by: &Authority, window: WindowId, counts: &Counts) -> Outcome {
        Client::report_usage(self, by, window, counts)
    }
}

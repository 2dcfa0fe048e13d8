//! Check of a configuration before it is sent: errors, entries that can never match, limits that
//! contradict each other, and what differs from the version in force.
//!
//! Pure: a host decodes a configuration by the same draft, so that what is reported here is what hosts
//! would do.

mod accounts;
mod difference;
mod routes;
mod services;

use std::fmt;

use crate::catalog::Draft;
use crate::catalog::Finding;
use crate::catalog::Level;
use crate::catalog::Place;
use crate::retry::window::Bounds;

/// What is known of the deployment besides its configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Context {
    /// Bounds on retries of the hosts' settings.
    pub retries: Option<Bounds>,
}

/// Collects findings.
#[derive(Debug)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add<T>(&mut self, level: Level, place: Place, text: T)
    where
        T: fmt::Display,
    {
        self.0.push(Finding::new(level, place, text));
    }
}

/// Returns all findings about a configuration, errors first, and its differences from the version in
/// force, if that is known.
///
/// ```
/// use pistachiohall::check;
/// use pistachiohall::platform::config;
/// let text = r#"{"version": 7, "services": [], "routes": [{"host": "a.example",
///     "path_prefix": "/x/", "type": "safe", "service": "desk", "timeout_ms": 1000,
///     "target_latency_ms": 150}]}"#;
/// let draft = config::draft(text.as_bytes()).unwrap();
/// let findings = check::report(None, &draft, check::Context::default());
/// assert!(findings[0].text.contains("service `desk` does not exist"));
/// ```
pub fn report(in_force: Option<&Draft>, draft: &Draft, context: Context) -> Vec<Finding> {
    let mut findings = Findings(draft.faults.clone());
    if let Some(in_force) = in_force
        && draft.version <= in_force.version
    {
        findings.add(
            Level::Error,
            Place::Document,
            format_args!(
                "version {} is ignored by hosts that serve version {}; a higher one is expected",
                draft.version, in_force.version
            ),
        );
    }
    routes::check(draft, context, &mut findings);
    services::check(draft, &mut findings);
    accounts::check(draft, &mut findings);
    if let Some(in_force) = in_force {
        difference::check(in_force, draft, &mut findings);
    }
    findings.0.sort_by_key(|finding| finding.level);
    findings.0
}

//! `pistachiohall publish`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use serde::Serialize;

use crate::cli::Format;
use crate::cli::Publish;
use crate::clock::Clock;
use crate::clock::Real;
use crate::id::HostId;
use crate::id::Offset;
use crate::log::http::Http;
use crate::publish;
use crate::publish::Outcome;
use crate::status::Status;

use super::EXIT_CONFLICT;
use super::EXIT_UNKNOWN;
use super::print;
use super::show;

/// Longest wait for all hosts to have a revision.
const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Pause between two looks.
const WAIT_PAUSE: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct Report {
    #[serde(flatten)]
    outcome: Outcome,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    behind: Vec<HostId>,
}

/// Publishes service files.
pub fn run(arguments: &Publish) -> Result<ExitCode> {
    let collected = publish::collect(&arguments.paths).context("cannot read the service files")?;
    if !collected.faults.0.is_empty() {
        bail!("nothing was published:\n{}", collected.faults);
    }
    let log = Http::new(arguments.platform);
    let replica = publish::read(&log).context("cannot read the configuration in force")?;
    let plan = replica.with(|config| publish::plan(config, &collected.files, arguments.prune));
    if arguments.format == Format::Text {
        print!("{}", replica.with(|config| publish::diff(config, &plan)));
    }
    if arguments.dry_run {
        return Ok(ExitCode::SUCCESS);
    }
    let outcome = publish::publish(&log, &Real, &replica, &plan);
    let behind = match (&outcome, arguments.wait) {
        (Outcome::Accepted { revision }, Some(host)) => wait(host, *revision, arguments.format)?,
        _ => Vec::new(),
    };
    let report = Report { outcome, behind };
    print(arguments.format, &report, render)?;
    Ok(match &report.outcome {
        Outcome::Conflict { .. } => ExitCode::from(EXIT_CONFLICT),
        Outcome::Unknown { .. } => ExitCode::from(EXIT_UNKNOWN),
        _ if !report.behind.is_empty() => ExitCode::from(EXIT_UNKNOWN),
        _ => ExitCode::SUCCESS,
    })
}

fn render(report: &Report) -> String {
    let line = match &report.outcome {
        Outcome::Unchanged { .. } => "unchanged: all of it is in force already".to_owned(),
        Outcome::Accepted { revision } => format!("accepted as revision {revision}"),
        Outcome::Conflict { changed } => {
            format!(
                "conflict: changed by another publication: {}",
                changed.join(", ")
            )
        }
        Outcome::Unknown { cause } => format!("unknown: {cause}; run it again to settle it"),
    };
    match report.behind.is_empty() {
        true => format!("{line}\n"),
        false => format!(
            "{line}\nnot yet in force on: {}\n",
            report.behind.join(", ")
        ),
    }
}

/// Waits until every host that is heard has a revision; returns those that have not.
fn wait(host: SocketAddr, revision: Offset, format: Format) -> Result<Vec<HostId>> {
    let give_up = Real.now() + WAIT_LIMIT;
    let mut told: Vec<HostId> = Vec::new();
    loop {
        let status: Status = show::fetch(host, "/status")?;
        let (there, behind): (Vec<_>, Vec<_>) = status
            .hosts
            .iter()
            .partition(|host| host.revision.is_some_and(|has| has >= revision));
        for host in there.iter().filter(|host| !told.contains(&host.name)) {
            if format == Format::Text {
                println!("in force on {}", host.name);
            }
        }
        told = there.iter().map(|host| host.name.clone()).collect();
        if behind.is_empty() || Real.now() >= give_up {
            return Ok(behind.iter().map(|host| host.name.clone()).collect());
        }
        Real.sleep(WAIT_PAUSE);
    }
}

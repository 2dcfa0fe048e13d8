//! `pistachiohall status` and `pistachiohall histograms`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use serde::de::DeserializeOwned;

use crate::cli;
use crate::histogram::Line;
use crate::id::Offset;
use crate::status::Histograms;
use crate::status::Status;
use crate::status::table;

use super::print;

/// Longest wait for an entry host.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Asks an entry host for JSON at its operator address.
pub fn fetch<T>(host: SocketAddr, path: &str) -> Result<T>
where
    T: DeserializeOwned,
{
    let response = attohttpc::get(format!("http://{host}{path}"))
        .connect_timeout(TIMEOUT)
        .timeout(TIMEOUT)
        .send()
        .with_context(|| format!("entry host {host} does not answer"))?;
    let body = response.error_for_status()?.bytes()?;
    serde_json::from_slice(&body).context("the answer is not understood")
}

/// Shows what an entry host knows.
pub fn status(arguments: &cli::Status) -> Result<ExitCode> {
    let status: Status = fetch(arguments.host, "/status")?;
    print(arguments.format, &status, |status| {
        match arguments.explain {
            true => lines(&status.explanations),
            false => render(status),
        }
    })?;
    Ok(ExitCode::SUCCESS)
}

fn lines(texts: &[String]) -> String {
    texts.iter().map(|text| format!("{text}\n")).collect()
}

fn offset(offset: Option<Offset>) -> String {
    offset.map_or("-".to_owned(), |offset| offset.to_string())
}

fn render(status: &Status) -> String {
    let hosts: Vec<_> = status
        .hosts
        .iter()
        .map(|host| {
            let state = match (host.ready, host.leaving) {
                (_, true) => "leaving",
                (true, _) => "ready",
                (false, _) => "not ready",
            };
            let heard = host
                .heard_s
                .map_or("never".to_owned(), |age| format!("{age:.1} s ago"));
            vec![
                host.name.to_string(),
                host.domain.to_string(),
                offset(host.revision),
                state.to_owned(),
                heard,
            ]
        })
        .collect();
    let upstreams: Vec<_> = status
        .upstreams
        .iter()
        .map(|one| {
            vec![
                one.name.to_string(),
                one.service.to_string(),
                one.domain.to_string(),
                format!("{:?}", one.role).to_lowercase(),
                one.in_flight.to_string(),
                one.prompt_backlog.to_string(),
                one.state.clone(),
            ]
        })
        .collect();
    let lanes: Vec<_> = status
        .lanes
        .iter()
        .map(|lane| {
            vec![
                lane.service.to_string(),
                lane.running.to_string(),
                lane.queued.to_string(),
            ]
        })
        .collect();
    let mut text = table::render(&["HOST", "DOMAIN", "REVISION", "STATE", "HEARD"], &hosts);
    let head = [
        "UPSTREAM",
        "SERVICE",
        "DOMAIN",
        "ROLE",
        "IN FLIGHT",
        "BACKLOG",
        "STATE",
    ];
    text += &format!("\n{}", table::render(&head, &upstreams));
    text += &format!(
        "\n{}",
        table::render(&["SERVICE", "RUNNING", "QUEUED"], &lanes)
    );
    if let Some(lease) = &status.lease {
        text += &format!("\nlease: {} with token {}\n", lease.host, lease.token);
    }
    for order in &status.orders {
        text += &format!(
            "open order: {} {:?} since {}\n",
            order.upstream, order.open.action, order.open.intent
        );
    }
    for suspect in &status.quarantine {
        text += &format!(
            "suspect: {:016x} lost {} upstreams\n",
            suspect.fingerprint, suspect.crashes
        );
    }
    text
}

/// Shows latencies by class or caller.
pub fn histograms(arguments: &cli::Histograms) -> Result<ExitCode> {
    let histograms: Histograms = fetch(arguments.host, "/histograms")?;
    let rows = match arguments.callers {
        true => histograms.callers,
        false => histograms.classes,
    };
    print(arguments.format, &rows, |rows| render_rows(rows))?;
    Ok(ExitCode::SUCCESS)
}

fn render_rows(rows: &[Line]) -> String {
    let quantiles = |values: [u64; 3]| values.map(|value| value.to_string()).join("/");
    let cells: Vec<_> = rows
        .iter()
        .map(|row| {
            vec![
                row.service.to_string(),
                row.name.clone(),
                row.requests.to_string(),
                row.not_run.to_string(),
                row.ran.to_string(),
                row.unknown.to_string(),
                quantiles(row.first_token_ms),
                quantiles(row.between_tokens_ms),
                quantiles(row.total_ms),
            ]
        })
        .collect();
    let head = [
        "SERVICE",
        "NAME",
        "REQUESTS",
        "NOT RUN",
        "RAN",
        "UNKNOWN",
        "FIRST TOKEN ms 50/95/99",
        "BETWEEN ms",
        "TOTAL ms",
    ];
    table::render(&head, &cells)
}

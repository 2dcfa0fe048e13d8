//! `pistachiohall drain` and `pistachiohall order`.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Result;
use serde_json::json;

use crate::cli;
use crate::cli::Format;
use crate::fold::orders;
use crate::fold::orders::Action;
use crate::fold::orders::Record;
use crate::log::AppendError;
use crate::log::Log;
use crate::log::http::Http;
use crate::upstream::Role;

use super::EXIT_FAULT;
use super::EXIT_UNKNOWN;
use super::print;

/// Takes an upstream out of use, or back into it. A repeat does no harm.
pub fn drain(arguments: &cli::Drain) -> Result<ExitCode> {
    let record = Record::Drain {
        upstream: arguments.upstream.as_str().into(),
        drained: !arguments.undo,
    };
    append(
        arguments.platform,
        &arguments.domain,
        &record,
        arguments.format,
    )
}

/// Asks the holder of a failure domain's lease to change an engine. A repeat does no harm.
pub fn order(arguments: &cli::Order) -> Result<ExitCode> {
    let record = Record::Asked {
        upstream: arguments.upstream.as_str().into(),
        action: action(&arguments.action),
    };
    append(
        arguments.platform,
        &arguments.domain,
        &record,
        arguments.format,
    )
}

fn action(asked: &cli::Action) -> Action {
    let role = asked.role.map(|role| match role {
        cli::Role::Prefill => Role::Prefill,
        cli::Role::Decode => Role::Decode,
        cli::Role::Mixed => Role::Mixed,
    });
    match (role, &asked.version_of_model, &asked.adapter) {
        (Some(role), _, _) => Action::Role(role),
        (_, Some(version), _) => Action::Version(version.into()),
        (_, _, Some(adapter)) => Action::Adapter(adapter.into()),
        (None, None, None) => unreachable!("the command line requires one of the actions"),
    }
}

fn append(platform: SocketAddr, domain: &str, record: &Record, format: Format) -> Result<ExitCode> {
    let stream = orders::stream(domain);
    let appended = Http::new(platform).append(&stream, &serde_json::to_value(record)?);
    let (code, result) = match &appended {
        Ok(_) => (0, "accepted"),
        Err(AppendError::Refused(_)) => (EXIT_FAULT, "refused"),
        Err(AppendError::Unknown(_)) => (EXIT_UNKNOWN, "unknown"),
    };
    let value = json!({ "result": result, "offset": appended.as_ref().ok() });
    print(format, &value, |_| match &appended {
        Ok(offset) => format!("accepted at offset {offset}\n"),
        Err(cause) => format!("{result}: {cause}\n"),
    })?;
    Ok(ExitCode::from(code))
}

//! `pistachiohall drain`.

use std::process::ExitCode;

use anyhow::Result;
use serde_json::json;

use crate::cli::Drain;
use crate::fold::orders;
use crate::fold::orders::Record;
use crate::platform::AppendError;
use crate::platform::Log;
use crate::platform::http::Http;

use super::EXIT_FAULT;
use super::EXIT_UNKNOWN;
use super::print;

/// Takes an upstream out of use, or back into it. A repeat does no harm.
pub fn run(arguments: &Drain) -> Result<ExitCode> {
    let record = Record::Drain {
        upstream: arguments.upstream.as_str().into(),
        drained: !arguments.undo,
    };
    let stream = orders::stream(&arguments.domain);
    let appended = Http::new(arguments.platform).append(&stream, &serde_json::to_value(record)?);
    let (code, result) = match &appended {
        Ok(_) => (0, "accepted"),
        Err(AppendError::Refused(_)) => (EXIT_FAULT, "refused"),
        Err(AppendError::Unknown(_)) => (EXIT_UNKNOWN, "unknown"),
    };
    let value = json!({ "result": result, "offset": appended.as_ref().ok() });
    print(arguments.format, &value, |_| match &appended {
        Ok(offset) => format!("accepted at offset {offset}\n"),
        Err(cause) => format!("{result}: {cause}\n"),
    })?;
    Ok(ExitCode::from(code))
}

//! A small deployment on stand-ins, with faults, that checks its own promises.

use std::process::ExitCode;

use anyhow::Result;

use crate::cli::Demo;

/// Runs the demo.
pub fn run(_arguments: &Demo) -> Result<ExitCode> {
    Ok(ExitCode::SUCCESS)
}

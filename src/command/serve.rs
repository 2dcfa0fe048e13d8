//! `pistachiohall serve`.

use std::fs;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::cli::Serve;
use crate::clock::Real;
use crate::gateway::process;
use crate::log::http::Http;
use crate::logging;
use crate::serve::Process;
use crate::settings::Settings;
use crate::settings::gateway;

use super::EXIT_FAULT;

/// Runs an entry host until a signal asks it to leave.
pub fn run(arguments: &Serve) -> Result<ExitCode> {
    let file = arguments.settings.display().to_string();
    let text = fs::read_to_string(&file).with_context(|| format!("cannot read {file}"))?;
    if gateway::is_gateway(&text) {
        return run_gateway(arguments, &text);
    }
    let settings = Settings::parse(&file, &text)?;
    let _logger = logging::start(&arguments.log, &settings.name)?;
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let platform = Http::new(settings.platform);
    let process = Process::start(settings, Real, platform)?;
    println!("callers={}", process.address());
    println!("peers={}", process.core().settings.peer_listen);
    if let Some(address) = process.operator() {
        println!("operators={address}");
    }
    let _signal = signals.forever().next();
    match process.shut_down() {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(EXIT_FAULT)),
    }
}

/// Runs a gateway, which logs to standard output.
fn run_gateway(arguments: &Serve, text: &str) -> Result<ExitCode> {
    let file = arguments.settings.display().to_string();
    let settings = gateway::Settings::parse(&file, text)?;
    let logger = logging::start(&arguments.log, &settings.name)?;
    let finished = process::run(settings, arguments.settings.clone(), &Real);
    logger.flush();
    match finished? {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::from(EXIT_FAULT)),
    }
}

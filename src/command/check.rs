//! `pistachiohall check`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;
use serde::Serialize;

use crate::cli::Check;
use crate::cli::Format;
use crate::publish;
use crate::settings::Settings;
use crate::settings::gateway;

use super::EXIT_FAULT;
use super::configuration;
use super::print;

#[derive(Serialize)]
struct Report {
    files: usize,
    faults: Vec<String>,
}

/// Checks files and prints every fault in them.
pub fn run(arguments: &Check) -> Result<ExitCode> {
    if let [path] = arguments.paths.as_slice()
        && path
            .extension()
            .is_some_and(|extension| extension == "json")
    {
        return configuration::run(path, arguments);
    }
    let format = match arguments.json {
        true => Format::Json,
        false => arguments.format,
    };
    let (settings, services): (Vec<PathBuf>, Vec<PathBuf>) = arguments
        .paths
        .iter()
        .cloned()
        .partition(|path| is_settings(path));
    let collected = publish::collect(&services).context("cannot read the service files")?;
    let mut report = Report {
        files: collected.paths.len() + settings.len(),
        faults: collected.faults.0.iter().map(ToString::to_string).collect(),
    };
    for path in &settings {
        let file = path.display().to_string();
        let text = fs::read_to_string(path).with_context(|| format!("cannot read {file}"))?;
        let parsed = match gateway::is_gateway(&text) {
            true => gateway::Settings::parse(&file, &text).map(drop),
            false => Settings::parse(&file, &text).map(drop),
        };
        if let Err(faults) = parsed {
            report
                .faults
                .extend(faults.0.iter().map(ToString::to_string));
        }
    }
    print(format, &report, |report| {
        let lines: String = report
            .faults
            .iter()
            .map(|fault| format!("{fault}\n"))
            .collect();
        format!(
            "{lines}{} files, {} faults\n",
            report.files,
            report.faults.len()
        )
    })?;
    Ok(match report.faults.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_FAULT),
    })
}

fn is_settings(path: &Path) -> bool {
    path.is_file() && !path.to_string_lossy().ends_with(".hall.ini")
}

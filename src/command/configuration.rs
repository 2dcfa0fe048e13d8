//! `pistachiohall check` for a configuration of the platform.

use std::fs;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context as _;
use anyhow::Result;
use anyhow::bail;
use serde::Serialize;

use super::EXIT_FAULT;
use super::print;
use crate::catalog::Draft;
use crate::catalog::Finding;
use crate::catalog::Level;
use crate::check;
use crate::check::Context;
use crate::cli::Check;
use crate::cli::Format;
use crate::log::keyed::Keyed;
use crate::platform::config;
use crate::platform::store;
use crate::platform::store::Store;
use crate::settings::gateway::Settings;

/// Exit code if the configuration has errors.
const EXIT_ERRORS: u8 = 2;

#[derive(Serialize)]
struct Line {
    level: Level,
    line: usize,
    column: usize,
    text: String,
}

#[derive(Serialize)]
struct Report {
    file: String,
    errors: usize,
    warnings: usize,
    changes: usize,
    findings: Vec<Line>,
}

/// Checks a configuration and prints all findings.
pub fn run(path: &Path, arguments: &Check) -> Result<ExitCode> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).with_context(|| format!("cannot read {file}"))?;
    let context = Context {
        retries: match &arguments.settings {
            Some(path) => Some(settings(path)?.retries),
            None => None,
        },
    };
    let in_force = match &arguments.in_force {
        Some(source) => Some(in_force(source)?),
        None => None,
    };
    let findings = match config::draft(text.as_bytes()) {
        Ok(draft) => check::report(in_force.as_ref(), &draft, context)
            .into_iter()
            .map(|finding| locate(&text, finding))
            .collect(),
        Err(cause) => vec![Line {
            level: Level::Error,
            line: cause.line(),
            column: cause.column(),
            text: format!("not a configuration: {cause}"),
        }],
    };
    let report = report(file, findings);
    let format = match arguments.json {
        true => Format::Json,
        false => arguments.format,
    };
    let is_colored = std::io::stdout().is_terminal() && format == Format::Text;
    print(format, &report, |report| render(report, is_colored))?;
    Ok(match (report.errors, report.warnings) {
        (0, 0) => ExitCode::SUCCESS,
        (0, _) if arguments.strict => ExitCode::from(EXIT_FAULT),
        (0, _) => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_ERRORS),
    })
}

fn settings(path: &Path) -> Result<Settings> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).with_context(|| format!("cannot read {file}"))?;
    Ok(Settings::parse(&file, &text)?)
}

/// Reads the configuration in force from a file or from the store at an address.
fn in_force(source: &str) -> Result<Draft> {
    let text = match source.parse::<SocketAddr>() {
        Ok(address) => stored(address)?,
        Err(_) => fs::read(source).with_context(|| {
            format!("cannot read {source}, expected a file or the address of the platform's store")
        })?,
    };
    config::draft(&text)
        .with_context(|| format!("the configuration in force at {source} is not readable"))
}

fn stored(address: SocketAddr) -> Result<Vec<u8>> {
    let newest = Store::new(address)
        .newest(store::CONFIG_TOPIC)
        .with_context(|| format!("cannot read the store at {address}"))?;
    let record = newest
        .records
        .into_iter()
        .find(|record| record.key == store::CONFIG_KEY);
    match record.and_then(|record| record.value) {
        Some(value) => Ok(value),
        None => bail!("the store at {address} holds no configuration"),
    }
}

fn locate(text: &str, finding: Finding) -> Line {
    let (line, column) = config::position(text, finding.place).unwrap_or((1, 1));
    Line {
        level: finding.level,
        line,
        column,
        text: finding.text.into(),
    }
}

fn report(file: String, findings: Vec<Line>) -> Report {
    let count = |level| findings.iter().filter(|line| line.level == level).count();
    Report {
        file,
        errors: count(Level::Error),
        warnings: count(Level::Warning),
        changes: count(Level::Change),
        findings,
    }
}

fn render(report: &Report, is_colored: bool) -> String {
    let name = |level: Level| match (is_colored, level) {
        (false, level) => level.name().to_owned(),
        (true, Level::Error) => format!("\x1b[31m{}\x1b[0m", level.name()),
        (true, Level::Warning) => format!("\x1b[33m{}\x1b[0m", level.name()),
        (true, Level::Change) => format!("\x1b[36m{}\x1b[0m", level.name()),
    };
    let lines: String = report
        .findings
        .iter()
        .map(|line| {
            format!(
                "{}:{}:{}: {}: {}\n",
                report.file,
                line.line,
                line.column,
                name(line.level),
                line.text
            )
        })
        .collect();
    format!(
        "{lines}{} errors, {} warnings, {} changes\n",
        report.errors, report.warnings, report.changes
    )
}

//! `pistachiohall explain`.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::process::ExitCode;

use anyhow::Context;
use anyhow::Result;

use crate::cli::Explain;
use crate::explain::Account;

use super::EXIT_FAULT;

/// Prints the account of a request from log files or the standard input.
pub fn run(arguments: &Explain) -> Result<ExitCode> {
    let mut lines = Vec::new();
    if arguments.logs.is_empty() {
        read(io::stdin().lock(), &mut lines).context("cannot read the standard input")?;
    }
    for path in &arguments.logs {
        let file = File::open(path).with_context(|| format!("cannot open {}", path.display()))?;
        read(file, &mut lines).with_context(|| format!("cannot read {}", path.display()))?;
    }
    let account = Account::gather(&arguments.id, lines);
    print!("{account}");
    Ok(match account.endings.is_empty() {
        true => ExitCode::from(EXIT_FAULT),
        false => ExitCode::SUCCESS,
    })
}

/// Reads lines; what is not UTF-8 is replaced, since callers choose some of the text.
fn read<Source>(source: Source, lines: &mut Vec<String>) -> io::Result<()>
where
    Source: Read,
{
    for line in BufReader::new(source).split(b'\n') {
        lines.push(String::from_utf8_lossy(&line?).into_owned());
    }
    Ok(())
}

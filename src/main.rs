//! The `pistachiohall` program.

use std::process::ExitCode;

use anyhow::Result;
use clap::Parser;

use pistachiohall::cli::Arguments;
use pistachiohall::command;

fn main() -> ExitCode {
    match run() {
        Ok(code) => code,
        Err(fault) => {
            eprintln!("\x1b[31merror:\x1b[0m {fault:#}");
            ExitCode::from(command::EXIT_FAULT)
        }
    }
}

fn run() -> Result<ExitCode> {
    command::run(Arguments::parse())
}

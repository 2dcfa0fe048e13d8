//! The commands behind the command line.

mod check;
mod configuration;
mod explain;
mod orders;
mod publish;
mod serve;
mod show;
mod stand_in;

pub use self::stand_in::put_host;

use std::process::ExitCode;

use anyhow::Result;
use clap::CommandFactory;

use crate::cli::Arguments;
use crate::cli::Command;
use crate::cli::Format;
use crate::demo;
use crate::experiment;

/// Exit code of a failed command.
pub const EXIT_FAULT: u8 = 1;
/// Exit code of a publication that another one preceded.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code of a change whose outcome is not known.
pub const EXIT_UNKNOWN: u8 = 4;

/// Runs a command and returns its exit code.
pub fn run(arguments: Arguments) -> Result<ExitCode> {
    match arguments.command {
        Command::Serve(serve) => serve::run(&serve),
        Command::Check(check) => check::run(&check),
        Command::Publish(publish) => publish::run(&publish),
        Command::Status(status) => show::status(&status),
        Command::Drain(drain) => orders::drain(&drain),
        Command::Order(order) => orders::order(&order),
        Command::Histograms(histograms) => show::histograms(&histograms),
        Command::Explain(explain) => explain::run(&explain),
        Command::Demo(demo) => demo::run(&demo),
        Command::Experiment(experiment) => experiment::run(&experiment),
        Command::StandIn(stand_in) => stand_in::run(stand_in),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "pistachiohall", &mut std::io::stdout());
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Prints a result as JSON, or as the text that `render` makes.
pub fn print<T, F>(format: Format, value: &T, render: F) -> Result<()>
where
    T: serde::Serialize,
    F: FnOnce(&T) -> String,
{
    match format {
        Format::Json => println!("{}", serde_json::to_string(value)?),
        Format::Text => print!("{}", render(value)),
    }
    Ok(())
}

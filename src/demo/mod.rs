//! A small deployment on stand-ins, with faults, that checks its own promises.
//!
//! All counts come from what callers got and what stand-ins saw, compared with each other.

mod load;
mod script;
mod tally;

use std::process::ExitCode;

use anyhow::Result;

use crate::cli::Demo;
use crate::cli::Format;
use crate::command::EXIT_FAULT;

pub use self::tally::Report;

/// Runs the demo.
pub fn run(arguments: &Demo) -> Result<ExitCode> {
    let say = |text: &str| match arguments.format {
        Format::Text => println!("{text}"),
        Format::Json => eprintln!("{text}"),
    };
    let report = script::run(arguments.seed, say)?;
    match arguments.format {
        Format::Text => print!("{}", report.render()),
        Format::Json => println!("{}", serde_json::to_string(&report)?),
    }
    Ok(match report.broken().is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_FAULT),
    })
}

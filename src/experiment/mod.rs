//! Measurements of the policies, on models and on stand-ins.

pub mod clairvoyant;
pub mod plot;
pub mod policy;
pub mod queue;
pub mod trace;

use std::process::ExitCode;

use anyhow::Result;

use crate::cli::Experiment;
use crate::cli::Topic;
use crate::command::print;

/// Fleets that the policies are compared on: today's two and the two-year size.
const FLEETS: [usize; 3] = [9, 12, 400];

/// Runs an experiment.
pub fn run(arguments: &Experiment) -> Result<ExitCode> {
    match arguments.topic {
        Topic::Policy => {
            let rows = policy::run(arguments.seeds, &FLEETS, arguments.load);
            print(arguments.format, &rows, |rows| policy::render(rows))?;
            if let Some(path) = &arguments.plot {
                policy::draw(&rows, path)?;
            }
        }
        _ => anyhow::bail!("not measured yet"),
    }
    Ok(ExitCode::SUCCESS)
}

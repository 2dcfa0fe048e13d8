//! Measurements of the policies, on models and on stand-ins.

pub mod admission;
pub mod clairvoyant;
pub mod cost;
pub mod once;
pub mod overhead;
pub mod plot;
pub mod policy;
pub mod queue;
pub mod routing;
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
        Topic::Admission => {
            let rows = admission::run(arguments.seeds);
            print(arguments.format, &rows, |rows| admission::render(rows))?;
        }
        Topic::Routing => {
            let rows = routing::run(arguments.seeds);
            print(arguments.format, &rows, |rows| routing::render(rows))?;
        }
        Topic::Overhead => {
            let rows = overhead::run()?;
            print(arguments.format, &rows, |rows| overhead::render(rows))?;
        }
        Topic::Once => {
            let rows = once::run()?;
            print(arguments.format, &rows, |rows| once::render(rows))?;
        }
        Topic::Cost => {
            let rows = cost::run()?;
            print(arguments.format, &rows, |rows| cost::render(rows))?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the mean of a value over runs.
///
/// ```
/// assert_eq!(pistachiohall::experiment::mean(&[1.0, 3.0], |run| *run), 2.0);
/// ```
pub fn mean<T, F>(runs: &[T], value: F) -> f64
where
    F: Fn(&T) -> f64,
{
    runs.iter().map(value).sum::<f64>() / runs.len().max(1) as f64
}

//! Compares the policies for roles.

use std::path::Path;
use std::thread;

use anyhow::Result;
use serde::Serialize;

use crate::role::Cusum;
use crate::role::Ewma;
use crate::role::Fixed;
use crate::role::Threshold;
use crate::role::Weights;

use super::clairvoyant::Clairvoyant;
use super::mean;
use super::plot;
use super::queue::Model;
use super::queue::Outcome;
use super::trace::Scenario;
use super::trace::Trace;

/// Weights of the Trust's model service.
const TRENTSIDE: Weights = Weights {
    goodput: 1.0,
    role_change: 0.2,
};
/// Weights of the Franchise House's model service.
const NISHAN: Weights = Weights {
    goodput: 0.3,
    role_change: 1.0,
};
/// Fleet from which fewer seeds are run.
const LARGE_FLEET: usize = 100;
/// Seeds of a large fleet.
const LARGE_SEEDS: u64 = 3;

/// A policy under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Static,
    Threshold,
    Ewma,
    Cusum,
    CusumNishan,
    Clairvoyant,
}

impl Kind {
    const ALL: [Kind; 6] = [
        Kind::Static,
        Kind::Threshold,
        Kind::Ewma,
        Kind::Cusum,
        Kind::CusumNishan,
        Kind::Clairvoyant,
    ];

    fn name(self) -> &'static str {
        match self {
            Kind::Static => "static",
            Kind::Threshold => "threshold",
            Kind::Ewma => "ewma",
            Kind::Cusum => "cusum",
            Kind::CusumNishan => "cusum-nishan",
            Kind::Clairvoyant => "clairvoyant",
        }
    }
}

/// One row of the comparison, a mean over seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the experiment.
    pub name: &'static str,
    /// Trace.
    pub trace: &'static str,
    /// Policy.
    pub policy: &'static str,
    /// Engines.
    pub engines: usize,
    /// Ordinary demand, as a share of what the fleet could do.
    pub load: f64,
    /// Seeds.
    pub seeds: u64,
    /// Work answered in time, as a share of all.
    pub goodput: f64,
    /// The same against the clairvoyant policy.
    pub goodput_vs_clairvoyant: f64,
    /// The same against the best static split.
    pub goodput_vs_static: f64,
    /// Engines that changed their role.
    pub role_changes: f64,
    /// Share of runs without any change.
    pub runs_without_change: f64,
    /// Requests let in whose first token came in time.
    pub in_time: f64,
}

fn run_one(kind: Kind, scenario: Scenario, prefill: usize, seed: u64) -> Outcome {
    let model = Model::new(scenario, prefill, seed);
    match kind {
        Kind::Static => model.run(&mut Fixed),
        Kind::Threshold => model.run(&mut Threshold::default()),
        Kind::Ewma => model.run(&mut Ewma::new(TRENTSIDE)),
        Kind::Cusum => model.run(&mut Cusum::new(TRENTSIDE)),
        Kind::CusumNishan => model.run(&mut Cusum::new(NISHAN)),
        Kind::Clairvoyant => model.run(&mut Clairvoyant::new(scenario)),
    }
}

fn run_seeds(kind: Kind, scenario: Scenario, prefill: usize, seeds: u64) -> Vec<Outcome> {
    (0..seeds)
        .map(|seed| run_one(kind, scenario, prefill, seed))
        .collect()
}

fn goodput(outcomes: &[Outcome]) -> f64 {
    mean(outcomes, |outcome| outcome.goodput / outcome.offered)
}

/// Runs the best of all static splits, chosen with hindsight.
fn best_static(scenario: Scenario, seeds: u64) -> Vec<Outcome> {
    let engines = scenario.engines;
    let step = (engines / 24).max(1);
    (1..engines)
        .step_by(step)
        .map(|prefill| run_seeds(Kind::Static, scenario, prefill, seeds))
        .max_by(|a, b| goodput(a).total_cmp(&goodput(b)))
        .unwrap_or_default()
}

fn compare(scenario: Scenario, seeds: u64) -> Vec<Row> {
    let Scenario {
        trace,
        engines,
        load,
    } = scenario;
    let seeds = if engines >= LARGE_FLEET {
        seeds.min(LARGE_SEEDS)
    } else {
        seeds
    };
    let first = Clairvoyant::new(scenario).first();
    let results: Vec<(Kind, Vec<Outcome>)> = Kind::ALL
        .into_iter()
        .map(|kind| match kind {
            Kind::Static => (kind, best_static(scenario, seeds)),
            _ => (kind, run_seeds(kind, scenario, first, seeds)),
        })
        .collect();
    let of = |kind| {
        let found = results.iter().find(|(other, _)| *other == kind);
        found.map_or(1.0, |(_, outcomes)| goodput(outcomes))
    };
    let (clairvoyant, fixed) = (of(Kind::Clairvoyant), of(Kind::Static));
    results
        .iter()
        .map(|(kind, outcomes)| Row {
            name: "policy",
            trace: trace.name(),
            policy: kind.name(),
            engines,
            load,
            seeds,
            goodput: goodput(outcomes),
            goodput_vs_clairvoyant: goodput(outcomes) / clairvoyant,
            goodput_vs_static: goodput(outcomes) / fixed,
            role_changes: mean(outcomes, |outcome| outcome.role_changes as f64),
            runs_without_change: mean(outcomes, |outcome| f64::from(outcome.role_changes == 0)),
            in_time: mean(outcomes, |outcome| outcome.in_time),
        })
        .collect()
}

/// Compares all policies on all traces and fleets.
pub fn run(seeds: u64, fleets: &[usize], load: f64) -> Vec<Row> {
    let jobs: Vec<_> = fleets
        .iter()
        .flat_map(|engines| Trace::ALL.map(|trace| (trace, *engines)))
        .map(|(trace, engines)| Scenario {
            trace,
            engines,
            load,
        })
        .map(|scenario| thread::spawn(move || compare(scenario, seeds)))
        .collect();
    jobs.into_iter()
        .flat_map(|job| job.join().expect("a comparison does not panic"))
        .collect()
}

/// Returns the rows as a table.
pub fn render(rows: &[Row]) -> String {
    let cells: Vec<_> = rows
        .iter()
        .map(|row| {
            vec![
                row.engines.to_string(),
                row.trace.to_owned(),
                row.policy.to_owned(),
                format!("{:.3}", row.goodput),
                format!("{:.3}", row.goodput_vs_clairvoyant),
                format!("{:.3}", row.goodput_vs_static),
                format!("{:.1}", row.role_changes),
                format!("{:.2}", row.runs_without_change),
                format!("{:.3}", row.in_time),
            ]
        })
        .collect();
    let head = [
        "ENGINES",
        "TRACE",
        "POLICY",
        "GOODPUT",
        "OF CLAIRVOYANT",
        "OF STATIC",
        "CHANGES",
        "NONE",
        "IN TIME",
    ];
    crate::status::table::render(&head, &cells)
}

/// Draws goodput against role changes.
pub fn draw(rows: &[Row], path: &Path) -> Result<()> {
    let points: Vec<plot::Point> = rows
        .iter()
        .map(|row| plot::Point {
            group: row.policy,
            x: row.role_changes,
            y: row.goodput,
        })
        .collect();
    plot::scatter(
        path,
        "Goodput against role changes",
        "role changes",
        "goodput",
        &points,
    )
}

//! Demand over time, and what happens to engines and reports.

use clap::ValueEnum;

/// Length of a trace, in seconds.
pub const LENGTH_S: f64 = 900.0;
/// Prefill share before a shift.
const LOW_SHARE: f64 = 0.15;
/// Prefill share after it.
const HIGH_SHARE: f64 = 0.60;
/// Time that a shift takes, in seconds.
const RAMP_S: f64 = 180.0;

/// A trace of demand and failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Trace {
    /// Nothing changes.
    Steady,
    /// The share of prefill goes up within three minutes, and back.
    Shift,
    /// Demand doubles for a while.
    Rain,
    /// Both at once.
    ShiftInRain,
    /// An engine is withdrawn at the peak of a shift.
    Withdrawn,
    /// A third of the engines is cut off at the peak of a shift.
    CutOff,
    /// Reports are lost for half a minute while the mix shifts.
    LostReports,
}

/// A trace met by a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Scenario {
    /// Trace.
    pub trace: Trace,
    /// Engines.
    pub engines: usize,
    /// Ordinary demand, as a share of what the whole fleet could do.
    pub load: f64,
}

impl Trace {
    /// All traces.
    pub const ALL: [Trace; 7] = [
        Trace::Steady,
        Trace::Shift,
        Trace::Rain,
        Trace::ShiftInRain,
        Trace::Withdrawn,
        Trace::CutOff,
        Trace::LostReports,
    ];

    /// Returns the trace's name.
    pub fn name(self) -> &'static str {
        match self {
            Trace::Steady => "steady",
            Trace::Shift => "shift",
            Trace::Rain => "rain",
            Trace::ShiftInRain => "shift-in-rain",
            Trace::Withdrawn => "withdrawn",
            Trace::CutOff => "cut-off",
            Trace::LostReports => "lost-reports",
        }
    }

    /// Returns whether the mix shifts.
    pub fn shifts(self) -> bool {
        !matches!(self, Trace::Steady | Trace::Rain)
    }

    /// Returns the share of prefill in the work that arrives at a time.
    pub fn share(self, at: f64) -> f64 {
        if !self.shifts() {
            return (LOW_SHARE + HIGH_SHARE) / 2.0;
        }
        let up = ((at - 150.0) / RAMP_S).clamp(0.0, 1.0);
        let down = ((at - 540.0) / RAMP_S).clamp(0.0, 1.0);
        LOW_SHARE + (HIGH_SHARE - LOW_SHARE) * (up - down)
    }

    /// Returns the demand at a time, 1 being ordinary.
    pub fn demand(self, at: f64) -> f64 {
        let rains = matches!(self, Trace::Rain | Trace::ShiftInRain);
        match rains && (300.0..600.0).contains(&at) {
            true => 2.0,
            false => 1.0,
        }
    }

    /// Returns how many of `engines` are away at a time.
    pub fn away(self, at: f64, engines: usize) -> usize {
        let peak = (400.0..600.0).contains(&at);
        match (self, peak) {
            (Trace::Withdrawn, true) => 1,
            (Trace::CutOff, true) => engines / 3,
            _ => 0,
        }
    }

    /// Returns whether a report made at a time is lost.
    pub fn loses_report(self, at: f64) -> bool {
        self == Trace::LostReports && (200.0..230.0).contains(&at)
    }
}

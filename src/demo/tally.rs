//! Counts of the demo, and its verdict.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use serde::Serialize;

use crate::standin::caller::Received;
use crate::standin::deployment::Deployment;
use crate::status::table;

/// Share of first tokens that the reported quantile covers.
const QUANTILE: f64 = 0.95;

#[derive(Debug, Default)]
struct Counts {
    answers: Vec<(&'static str, Received, bool)>,
    actions: Vec<(String, Received)>,
}

/// What callers got.
#[derive(Debug, Default)]
pub struct Tally {
    counts: Mutex<Counts>,
}

/// Result of the demo.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests sent, cue advances among them.
    pub requests: usize,
    /// Whole answers.
    pub whole: usize,
    /// Refusals as not run.
    pub not_run: usize,
    /// Requests of which the caller was told that nobody knows.
    pub unknown: usize,
    /// Cue advances that ran more than once.
    pub doubled: usize,
    /// Streams that ended early, or were cut by an order.
    pub cut: usize,
    /// Requests that ran though the caller was told that they had not.
    pub false_not_run: usize,
    /// Whole answers with a text that was not the request's own.
    pub wrong_answer: usize,
    /// Engines that changed their role.
    pub role_changes: usize,
    /// Orders that met another one on an engine.
    pub conflicting_orders: usize,
    /// Time to the first token that 95 in 100 kept, by class.
    pub first_token_p95_ms: BTreeMap<&'static str, u64>,
}

impl Tally {
    /// Notes what a caller got for a completion.
    pub fn record_answer(&self, class: &'static str, got: Received, is_right: bool) {
        let mut counts = self.counts.lock().expect("tally lock");
        counts.answers.push((class, got, is_right));
    }

    /// Notes what an operator got last for a cue advance.
    pub fn note_action(&self, name: String, got: Received) {
        self.counts
            .lock()
            .expect("tally lock")
            .actions
            .push((name, got));
    }

    /// Returns a short text of the counts so far.
    pub fn counts(&self) -> String {
        let counts = self.counts.lock().expect("tally lock");
        let whole = counts.answers.iter().filter(|one| one.1.whole).count();
        let ran = counts
            .actions
            .iter()
            .filter(|one| one.1.outcome == "ran")
            .count();
        let (answers, actions) = (counts.answers.len(), counts.actions.len());
        format!("{whole}/{answers} answers whole, {ran}/{actions} cues advanced")
    }

    /// Compares what callers got with what the stand-ins saw.
    pub fn report(&self, deployment: &Deployment) -> Report {
        let counts = self.counts.lock().expect("tally lock");
        let mut report = Report {
            requests: counts.answers.len() + counts.actions.len(),
            ..Report::default()
        };
        report.add_answers(&counts.answers, &begun(deployment));
        report.add_actions(&counts.actions, deployment);
        for engine in deployment.engines.values() {
            let book = engine.book();
            report.cut += book.cut;
            report.role_changes += book.role_changes;
            report.conflicting_orders += book.conflicts;
        }
        report
    }
}

fn begun(deployment: &Deployment) -> HashSet<String> {
    let books = deployment.engines.values().map(|engine| engine.book());
    books.flat_map(|book| book.begun.into_keys()).collect()
}

impl Report {
    fn add_outcome(&mut self, got: &Received) {
        match got.outcome.as_str() {
            _ if got.whole => self.whole += 1,
            "not-run" => self.not_run += 1,
            _ => self.unknown += 1,
        }
    }

    fn add_answers(&mut self, answers: &[(&'static str, Received, bool)], begun: &HashSet<String>) {
        let mut first: BTreeMap<&'static str, Vec<Duration>> = BTreeMap::new();
        for (class, got, is_right) in answers {
            self.add_outcome(got);
            self.wrong_answer += usize::from(!is_right);
            self.cut += usize::from(!got.whole && got.first_token.is_some());
            let says_not_run = got.outcome == "not-run";
            self.false_not_run += usize::from(says_not_run && begun.contains(&got.request));
            first.entry(class).or_default().extend(got.first_token);
        }
        for (class, mut times) in first {
            times.sort_unstable();
            let place = (times.len() as f64 * QUANTILE) as usize;
            let at = times.get(place.min(times.len().saturating_sub(1)));
            let millis = at.map_or(0, |time| time.as_millis() as u64);
            self.first_token_p95_ms.insert(class, millis);
        }
    }

    fn add_actions(&mut self, actions: &[(String, Received)], deployment: &Deployment) {
        for (name, got) in actions {
            self.add_outcome(got);
            let runs: usize = deployment
                .plains
                .values()
                .map(|plain| plain.runs(name))
                .sum();
            self.doubled += usize::from(runs > 1);
            self.false_not_run += usize::from(got.outcome == "not-run" && runs > 0);
            self.wrong_answer += usize::from(got.whole && got.body["name"] != name.as_str());
        }
    }

    /// Returns the promises that were broken.
    pub fn broken(&self) -> Vec<&'static str> {
        let promises = [
            (self.whole == 0, "nobody got an answer"),
            (self.doubled > 0, "a one-time action ran twice"),
            (self.cut > 0, "an answer was cut"),
            (
                self.false_not_run > 0,
                "a request ran that was said not to have run",
            ),
            (
                self.wrong_answer > 0,
                "a caller got another answer than its own",
            ),
            (
                self.conflicting_orders > 0,
                "an engine got conflicting orders",
            ),
        ];
        let broken = promises.iter().filter(|(is_broken, _)| *is_broken);
        broken.map(|(_, promise)| *promise).collect()
    }

    /// Returns the counts as a table with a verdict.
    pub fn render(&self) -> String {
        let mut rows = vec![
            ("requests", self.requests),
            ("whole answers", self.whole),
            ("refused, not run", self.not_run),
            ("unknown", self.unknown),
            ("doubled actions", self.doubled),
            ("cut answers", self.cut),
            ("false \"not run\"", self.false_not_run),
            ("wrong answers", self.wrong_answer),
            ("conflicting orders", self.conflicting_orders),
            ("role changes", self.role_changes),
        ];
        rows.extend(self.first_token_p95_ms.iter().map(|(class, millis)| {
            let name = if *class == "urgent" {
                "first token p95 ms, urgent"
            } else {
                "first token p95 ms, draft"
            };
            (name, *millis as usize)
        }));
        let cells: Vec<_> = rows
            .iter()
            .map(|(name, value)| vec![(*name).to_owned(), value.to_string()])
            .collect();
        let verdict = match self.broken().as_slice() {
            [] => "every promise was kept".to_owned(),
            broken => format!("broken: {}", broken.join("; ")),
        };
        format!(
            "\n{}\n{verdict}\n",
            table::render(&["COUNT", "VALUE"], &cells)
        )
    }
}

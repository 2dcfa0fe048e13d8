//! The outcome of a request, and the last known state of its hosts at that time.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use std::time::SystemTime;

use super::line::Line;

/// Time before and after a request's end in which lines of other hosts on its upstreams are shown;
/// all hosts detect an expired entry well within it.
const NEARBY_WINDOW: Duration = Duration::from_secs(5);
/// Fields that name the subject of a state change, one of which each such line contains.
const SUBJECTS: [&str; 5] = ["config", "dependency", "upstream", "peers", "lease"];
/// Field with the fingerprint of a request's content.
const FINGERPRINT: &str = "fingerprint";
/// Event of the line that is logged at the end of each request.
const REQUEST_ENDED: &str = "request ended";
/// Event of the line with the number of requests whose lines were omitted.
const LINES_LEFT_OUT: &str = "lines of delivered requests left out";

/// The last change of a subject's state before the end of a request.
#[derive(Debug, Clone)]
pub struct StateChange {
    /// Line that was logged at the change.
    pub line: Line,
    /// Time from the change to the request's end.
    pub age: Duration,
}

/// The end of a request on one host.
#[derive(Debug, Clone)]
pub struct Ending {
    /// The request's line.
    pub line: Line,
    /// Last changes known to the host: configuration, store, peers, lease and the upstreams to
    /// which the request was sent.
    pub last_changes: Vec<StateChange>,
    /// Lines on these upstreams close to the end: of other hosts, and of this host after the end.
    pub nearby: Vec<Line>,
}

/// All information on one request in the logs.
#[derive(Debug, Clone, Default)]
pub struct Account {
    /// Identifier.
    pub id: String,
    /// Its ends, one for each attempt of its caller, in order of time.
    pub endings: Vec<Ending>,
    /// Lines of all hosts on requests with the same content that may have crashed upstreams.
    pub suspicion: Vec<Line>,
    /// Number of lines read.
    pub read: usize,
    /// Number of requests without a line, because many others were delivered in the same second.
    pub left_out: i64,
    /// Number of lines on such requests whose count cannot be read.
    pub uncounted: usize,
}

impl Account {
    /// Gathers the information on the request `id` from the log lines of hosts in any order.
    ///
    /// ```
    /// use pistachiohall::explain::Account;
    /// let lines = [
    ///     r#"{"time":"2026-01-01T00:00:01Z","host":"h1","event":"configuration in force","config":4}"#,
    ///     r#"{"time":"2026-01-01T00:00:03Z","host":"h1","event":"request ended","request":"r1",
    ///         "config":4,"outcome":"refused","trail":[{"ms":1,"step":"no-upstream"}]}"#,
    /// ];
    /// let account = Account::gather("r1", lines);
    /// assert_eq!(account.endings[0].last_changes[0].age.as_secs(), 2);
    /// assert!(account.to_string().contains("no-upstream"));
    /// ```
    pub fn gather<Lines, Text>(id: &str, lines: Lines) -> Self
    where
        Lines: IntoIterator<Item = Text>,
        Text: AsRef<str>,
    {
        let mut account = Account {
            id: id.to_owned(),
            ..Account::default()
        };
        let mut requests = Vec::new();
        let mut changes = Vec::new();
        let mut suspicions = Vec::new();
        for line in lines {
            account.read += 1;
            let Some(line) = Line::parse(line.as_ref()) else {
                continue;
            };
            if line.event == LINES_LEFT_OUT {
                match line.number("left_out") {
                    Some(left_out) => account.left_out += left_out,
                    None => account.uncounted += 1,
                }
            }
            if line.fields.contains_key(FINGERPRINT) {
                suspicions.push(line);
                continue;
            }
            match line.text("request") {
                Some(request) if request == id => requests.push(line),
                Some(_) => (),
                None => changes.push(line),
            }
        }
        requests.sort_by_key(|line| line.time);
        // The sort is stable: lines of one host with the same time stay in the order of writing.
        changes.sort_by_key(|line| line.time);
        account.endings = requests
            .into_iter()
            .map(|line| Ending::new(line, &changes))
            .collect();
        let own: Vec<String> = suspicions
            .iter()
            .filter(|line| line.text("request").as_deref() == Some(id))
            .filter_map(|line| line.text(FINGERPRINT))
            .collect();
        suspicions.retain(|line| {
            line.text(FINGERPRINT)
                .is_some_and(|fingerprint| own.contains(&fingerprint))
        });
        suspicions.sort_by_key(|line| line.time);
        account.suspicion = suspicions;
        account
    }
}

impl Ending {
    fn new(line: Line, changes: &[Line]) -> Self {
        let attempted = upstreams(&line);
        let is_attempted = |change: &Line| {
            change
                .text("upstream")
                .is_some_and(|name| attempted.contains(&name))
        };
        let mut last_changes = BTreeMap::new();
        let earlier = changes
            .iter()
            .filter(|change| change.host == line.host && change.time <= line.time);
        for change in earlier {
            if change.text("upstream").is_some() && !is_attempted(change) {
                continue;
            }
            if let Some(subject) = subject(change) {
                last_changes.insert(subject, change);
            }
        }
        let last_changes = last_changes
            .into_values()
            .map(|change| StateChange {
                line: change.clone(),
                age: elapsed(change.time, line.time),
            })
            .collect();
        let nearby = changes
            .iter()
            .filter(|change| is_attempted(change))
            .filter(|change| {
                elapsed(change.time, line.time).max(elapsed(line.time, change.time))
                    <= NEARBY_WINDOW
            })
            .filter(|change| change.host != line.host || change.time > line.time)
            .cloned()
            .collect();
        Ending {
            line,
            last_changes,
            nearby,
        }
    }

    /// Describes the outcome and the steps in words.
    pub fn cause(&self) -> String {
        let steps = steps(&self.line);
        let last = steps.last().map_or("", |(_, step)| step.as_str());
        let attempted = upstreams(&self.line);
        match self.line.text("outcome").as_deref() {
            Some("delivered") => "the upstream's whole answer was passed on".into(),
            Some("rejected") => format!(
                "malformed or without a route: {}",
                self.line
                    .text("reason")
                    .unwrap_or_else(|| "no reason was logged".into())
            ),
            Some("refused") if attempted.is_empty() => {
                format!("not run: no upstream was asked ({last})")
            }
            Some("refused") => format!(
                "not run: {} asked, none took it ({last})",
                count(attempted.len())
            ),
            Some("failed") => format!("may have run: no whole answer came ({last})"),
            Some("cut") => format!("broken off after its first event ({last})"),
            Some("left") => "the caller left before its end".into(),
            outcome => format!("outcome {}", outcome.unwrap_or("unknown")),
        }
    }
}

/// Returns the subject whose state a line changes; `None` if it changes none.
fn subject(line: &Line) -> Option<(usize, String)> {
    let index = SUBJECTS
        .iter()
        .position(|name| line.fields.contains_key(*name))?;
    let detail = match SUBJECTS[index] {
        // The state that an upstream reports in its responses is kept apart from its entry.
        "upstream" if line.fields.contains_key("told_by") => line
            .text("upstream")
            .map(|name| format!("{name}, by its answers")),
        "upstream" => line.text("upstream"),
        "dependency" => line.text("topic"),
        _ => None,
    };
    Some((index, detail.unwrap_or_default()))
}

fn elapsed(from: SystemTime, to: SystemTime) -> Duration {
    // Zero if `from` is later than `to`.
    to.duration_since(from).unwrap_or_default()
}

fn steps(line: &Line) -> Vec<(i64, String)> {
    let trail = line.fields.get("trail").and_then(|trail| trail.as_array());
    let steps = trail.into_iter().flatten();
    steps
        .filter_map(|step| {
            let text = step.get("step")?.as_str()?.to_owned();
            Some((step.get("ms")?.as_i64()?, text))
        })
        .collect()
}

/// Returns the upstreams named in a request's steps, each once.
fn upstreams(line: &Line) -> Vec<String> {
    let mut names = Vec::new();
    for (_, step) in steps(line) {
        let Some((name, _)) = step.split_once('=') else {
            continue;
        };
        let name = name.split('/').next().unwrap_or(name);
        if !["refuse", "resume", "no-resume"].contains(&name)
            && !names.iter().any(|known| known == name)
        {
            names.push(name.to_owned());
        }
    }
    names
}

fn count(upstreams: usize) -> String {
    match upstreams {
        1 => "1 upstream was".into(),
        more => format!("{more} upstreams were"),
    }
}

impl fmt::Display for Account {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.endings.is_empty() {
            writeln!(
                formatter,
                "request {}: no line in {} lines read; {} delivered requests left no line",
                self.id, self.read, self.left_out
            )?;
            return match self.uncounted {
                0 => Ok(()),
                lines => writeln!(
                    formatter,
                    "  more may have left none: {lines} lines tell no count that can be read"
                ),
            };
        }
        for ending in &self.endings {
            ending.write(formatter)?;
        }
        if self.suspicion.is_empty() {
            return Ok(());
        }
        writeln!(formatter, "lost or refused with the same content:")?;
        for line in &self.suspicion {
            writeln!(
                formatter,
                "  {} on {}: {} ({})",
                humantime::format_rfc3339_millis(line.time),
                line.host,
                line.event,
                line.describe(&[])
            )?;
        }
        Ok(())
    }
}

impl Ending {
    fn write(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let line = &self.line;
        let text = |name| line.text(name).unwrap_or_else(|| "?".into());
        writeln!(
            formatter,
            "request {} on {}: {} at {}",
            text("request"),
            line.host,
            text("outcome"),
            humantime::format_rfc3339_millis(line.time)
        )?;
        writeln!(formatter, "  cause: {}", self.cause())?;
        if line.event == REQUEST_ENDED {
            writeln!(
                formatter,
                "  route {} of configuration {}, service {}",
                text("route"),
                text("config"),
                text("service")
            )?;
            writeln!(
                formatter,
                "  first answer after {} ms, end after {} ms, {} ms left",
                text("first_ms"),
                text("total_ms"),
                text("left_ms")
            )?;
        }
        writeln!(formatter, "  steps:")?;
        for (ms, step) in steps(line) {
            writeln!(formatter, "    {ms:>6} ms  {step}")?;
        }
        writeln!(formatter, "  believed by {}:", line.host)?;
        for change in &self.last_changes {
            let age = humantime::format_duration(Duration::from_millis(
                u64::try_from(change.age.as_millis()).unwrap_or(u64::MAX),
            ));
            writeln!(
                formatter,
                "    {} ({}), {age} old",
                change.line.event,
                change.line.describe(&[])
            )?;
        }
        if self.nearby.is_empty() {
            return Ok(());
        }
        writeln!(formatter, "  logged of these upstreams around then:")?;
        for change in &self.nearby {
            let sign = if change.time < line.time { '-' } else { '+' };
            let difference = elapsed(change.time, line.time).max(elapsed(line.time, change.time));
            writeln!(
                formatter,
                "    {sign}{} ms on {}: {} ({})",
                difference.as_millis(),
                change.host,
                change.event,
                change.describe(&[])
            )?;
        }
        Ok(())
    }
}

//! Stand-ins for the store and the platform, which can fail.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use pistachiohall::clock::Clock;
use pistachiohall::clock::Mock;
use pistachiohall::id::Era;
use pistachiohall::log::AppendError;
use pistachiohall::log::ReadError;
use pistachiohall::log::keyed::Changes;
use pistachiohall::log::keyed::ChangesError;
use pistachiohall::log::keyed::ConditionError;
use pistachiohall::log::keyed::Keyed;
use pistachiohall::log::keyed::Pair;
use pistachiohall::log::keyed::Position;
use pistachiohall::log::keyed::Record;
use pistachiohall::platform::duties::Authority;
use pistachiohall::platform::duties::Counts;
use pistachiohall::platform::duties::Outcome;
use pistachiohall::platform::duties::WindowId;
use pistachiohall::platform::store::USAGE_TOPIC;
use pistachiohall::usage::platform::Platform;

pub const LEASE: Duration = Duration::from_secs(3);
pub const WINDOW: Duration = Duration::from_secs(5);
pub const DUE: Duration = Duration::from_secs(10);
pub const TICK: Duration = Duration::from_millis(100);
/// Start of the tests, within a window.
pub const START: Duration = Duration::from_millis(1_767_225_601_300);

#[derive(Debug, Clone, Default)]
pub struct Topic {
    pub records: BTreeMap<String, Vec<u8>>,
    pub end: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Down,
    /// Writes take effect, but their responses are lost.
    LostAnswers,
    /// A write to the settled counts takes this long, as if its host were suspended in between.
    Suspends(Duration),
}

#[derive(Debug, Default)]
pub struct StoreState {
    pub topics: BTreeMap<String, Topic>,
    pub era: Era,
    pub fault: Option<Fault>,
    pub calls: u64,
}

#[derive(Debug, Clone)]
pub struct Store {
    pub state: Arc<Mutex<StoreState>>,
    pub clock: Mock,
    /// Whether the calls of this handle don't arrive.
    pub is_cut: bool,
}

impl Store {
    pub fn restore(&self, copy: &BTreeMap<String, Topic>) {
        let mut state = self.state.lock().unwrap();
        state.topics = copy.clone();
        state.era += 1;
    }

    pub fn copy(&self) -> BTreeMap<String, Topic> {
        self.state.lock().unwrap().topics.clone()
    }

    pub fn set_fault(&self, fault: Option<Fault>) {
        self.state.lock().unwrap().fault = fault;
    }

    pub fn calls(&self) -> u64 {
        self.state.lock().unwrap().calls
    }
}

impl Keyed for Store {
    fn newest(&self, topic: &str) -> Result<Changes, ReadError> {
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        if self.is_cut || state.fault == Some(Fault::Down) {
            return Err(ReadError("down".into()));
        }
        let era = state.era;
        let topic = state.topics.entry(topic.into()).or_default();
        let records = topic.records.iter().map(|(key, value)| Record {
            key: key.as_str().into(),
            value: Some(value.clone()),
        });
        Ok(Changes {
            records: records.collect(),
            next: Position::new(era, topic.end),
            pending: 0,
        })
    }

    fn changes(&self, _: &str, _: Position, _: Duration) -> Result<Changes, ChangesError> {
        Err(ChangesError::Gap(0))
    }

    fn put(&self, _: &str, _: Pair<'_>) -> Result<Position, AppendError> {
        Err(AppendError::Refused("only conditional writes".into()))
    }

    fn put_at(
        &self,
        topic: &str,
        record: Pair<'_>,
        at: Position,
    ) -> Result<Position, ConditionError> {
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        if self.is_cut || state.fault == Some(Fault::Down) {
            return Err(AppendError::Unknown("down".into()).into());
        }
        let (era, fault) = (state.era, state.fault);
        let kept = state.topics.entry(topic.into()).or_default();
        let (_, offset) = at.into_parts();
        if kept.end != offset {
            return Err(ConditionError::Moved(kept.end));
        }
        kept.records.insert(record.key.into(), record.value.into());
        kept.end += 1;
        match fault {
            Some(Fault::LostAnswers) => {
                return Err(AppendError::Unknown("lost".into()).into());
            }
            Some(Fault::Suspends(period)) if topic == USAGE_TOPIC => self.clock.suspend(period),
            _ => (),
        }
        match at.era() == era {
            true => Ok(at),
            false => Err(AppendError::Unknown("restored".into()).into()),
        }
    }

    fn newest_era(&self) -> Era {
        self.state.lock().unwrap().era
    }
}

/// How the platform treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Manner {
    #[default]
    Accepts,
    Refuses(u16),
    /// Calls don't arrive.
    Away,
    /// Calls are carried out, but not answered.
    Unanswered,
    /// Calls aren't answered, and are carried out seconds later.
    Late,
    Conflict,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    pub at: Duration,
    pub holder: String,
    pub fencing_token: u64,
    pub window: WindowId,
    pub counts: Counts,
}

#[derive(Debug, Default)]
pub struct PlatformState {
    pub manner: Manner,
    pub reports: Vec<Report>,
    pub late: Vec<Report>,
    pub calls: usize,
}

#[derive(Debug, Clone)]
pub struct FakePlatform {
    pub state: Arc<Mutex<PlatformState>>,
    pub clock: Mock,
}

impl Platform for FakePlatform {
    fn report_usage(&self, by: &Authority, window: WindowId, counts: &Counts) -> Outcome {
        let mut state = self.state.lock().unwrap();
        state.calls += 1;
        let report = Report {
            at: wall(&self.clock),
            holder: by.holder.to_string(),
            fencing_token: by.fencing_token,
            window,
            counts: counts.clone(),
        };
        match state.manner {
            Manner::Accepts => {
                state.reports.push(report);
                Outcome::Accepted
            }
            Manner::Refuses(status) => Outcome::Refused(status),
            Manner::Away => Outcome::NotSent("away".into()),
            Manner::Conflict => Outcome::Conflict,
            Manner::Unanswered => {
                state.reports.push(report);
                Outcome::Unknown("lost".into())
            }
            Manner::Late => {
                state.late.push(report);
                Outcome::Unknown("lost".into())
            }
        }
    }
}

pub fn wall(clock: &Mock) -> Duration {
    clock.wall().duration_since(SystemTime::UNIX_EPOCH).unwrap()
}

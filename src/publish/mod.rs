//! Puts service files into force.

mod collect;
mod diff;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use uuid::Uuid;

use crate::clock::Clock;
use crate::fold::config::Config;
use crate::fold::config::Edit;
use crate::fold::config::Record;
use crate::fold::config::STREAM;
use crate::fold::config::Verdict;
use crate::id::Offset;
use crate::id::ServiceId;
use crate::log::AppendError;
use crate::log::Log;
use crate::log::ReadError;
use crate::replay::Replica;

pub use self::collect::Collected;
pub use self::collect::collect;
pub use self::diff::diff;

/// Longest wait for an appended publication to be read back.
const READ_BACK: Duration = Duration::from_secs(5);
/// Longest wait of one read.
const READ_WAIT: Duration = Duration::from_millis(200);

/// Why nothing can be said of the configuration in force.
#[derive(Debug, Error)]
pub enum Error {
    /// The log cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The log has lost records and holds no snapshot of what they built.
    #[error("the log holds no snapshot of the configuration yet; try again in a while")]
    NoSnapshot,
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum Outcome {
    /// All was in force already.
    Unchanged {
        /// Revision in force.
        revision: Option<Offset>,
    },
    /// It is in force.
    Accepted {
        /// Its revision.
        revision: Offset,
    },
    /// Another publication came first.
    Conflict {
        /// Services that it changed.
        changed: Vec<ServiceId>,
    },
    /// The log does not say; the same publication may be tried again without harm.
    Unknown {
        /// What is known.
        cause: String,
    },
}

/// What is to be published, against what is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Identifier, to be read back.
    pub id: Uuid,
    /// Edits by service.
    pub edits: BTreeMap<ServiceId, Edit>,
    /// Revision that the edits are based on.
    pub revision: Option<Offset>,
}

/// Reads the configuration in force from the log.
pub fn read<L>(log: &L) -> Result<Replica<Config>, Error>
where
    L: Log,
{
    let replica = Replica::new(STREAM);
    loop {
        let before = replica.next();
        replica.poll(log, Duration::ZERO)?;
        if replica.is_ready() {
            return Ok(replica);
        }
        if replica.next() == before {
            return Err(Error::NoSnapshot);
        }
    }
}

/// Compares service files with those in force; `prune` removes services that have no file.
pub fn plan(config: &Config, files: &BTreeMap<ServiceId, String>, prune: bool) -> Plan {
    let mut edits = BTreeMap::new();
    let revision = |name| config.services.get(name).map(|version| version.revision);
    let in_force: BTreeMap<&ServiceId, &str> = config.active().collect();
    for (name, text) in files {
        if in_force.get(name) != Some(&text.as_str()) {
            let edit = Edit {
                based_on: revision(name),
                text: Some(text.clone()),
            };
            edits.insert(name.clone(), edit);
        }
    }
    let gone = in_force
        .keys()
        .filter(|name| prune && !files.contains_key(**name));
    for name in gone {
        let edit = Edit {
            based_on: revision(name),
            text: None,
        };
        edits.insert((*name).clone(), edit);
    }
    Plan {
        id: Uuid::now_v7(),
        edits,
        revision: config.revision,
    }
}

/// Appends a publication and reads back what became of it.
pub fn publish<L, C>(log: &L, clock: &C, replica: &Replica<Config>, plan: &Plan) -> Outcome
where
    L: Log,
    C: Clock,
{
    if plan.edits.is_empty() {
        let revision = plan.revision;
        return Outcome::Unchanged { revision };
    }
    let record = Record::Publication {
        id: plan.id,
        edits: plan.edits.clone(),
    };
    let data = serde_json::to_value(&record).expect("a publication is JSON");
    if let Err(AppendError::Refused(cause)) = log.append(STREAM, &data) {
        let cause = format!("nothing was published: {cause}");
        return Outcome::Unknown { cause };
    }
    let give_up = clock.now() + READ_BACK;
    read_back(log, clock, replica, plan.id, give_up)
}

fn read_back<L, C>(
    log: &L,
    clock: &C,
    replica: &Replica<Config>,
    id: Uuid,
    give_up: Instant,
) -> Outcome
where
    L: Log,
    C: Clock,
{
    loop {
        let read = replica.poll(log, READ_WAIT);
        if let Some(verdict) = replica.with(|config| config.verdict(id).cloned()) {
            return match verdict {
                Verdict::Accepted(revision) => Outcome::Accepted { revision },
                Verdict::Conflict(changed) => Outcome::Conflict { changed },
            };
        }
        if clock.now() >= give_up {
            let cause = match read {
                Ok(_) => "the publication was not read back in time".to_owned(),
                Err(cause) => cause.to_string(),
            };
            return Outcome::Unknown { cause };
        }
        if read.is_err() {
            clock.sleep(READ_WAIT);
        }
    }
}

#[cfg(test)]
mod tests {
    use crate::clock::Real;
    use crate::log::memory::Fault;
    use crate::log::memory::InMemory;

    use super::*;

    fn files(text: &str) -> BTreeMap<ServiceId, String> {
        BTreeMap::from([("s".into(), text.to_owned())])
    }

    fn run(log: &InMemory, text: &str) -> Outcome {
        let replica = read(log).unwrap();
        let plan = replica.with(|config| plan(config, &files(text), false));
        publish(log, &Real, &replica, &plan)
    }

    #[test]
    fn a_lost_answer_is_settled_without_a_double() {
        let log = InMemory::default();
        log.set_fault(Some(Fault::LostAnswer));
        assert_eq!(run(&log, "a"), Outcome::Accepted { revision: 0 });
        assert_eq!(run(&log, "a"), Outcome::Unchanged { revision: Some(0) });
        assert_eq!(log.appends(), 1);
    }

    #[test]
    fn the_later_of_two_racing_publishers_is_told_what_changed() {
        let log = InMemory::default();
        let replica = read(&log).unwrap();
        let late = replica.with(|config| plan(config, &files("late"), false));
        assert_eq!(run(&log, "early"), Outcome::Accepted { revision: 0 });
        let changed = vec!["s".into()];
        assert_eq!(
            publish(&log, &Real, &replica, &late),
            Outcome::Conflict { changed }
        );
    }
}

//! Configuration, made of the active service files.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use super::Fold;
use crate::id::Offset;
use crate::id::ServiceId;

/// Name of the stream.
pub const STREAM: &str = "config";

/// Maximum number of recent publications whose verdicts are kept.
const MAX_VERDICTS: usize = 256;

/// A change to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Revision that the edit was made on; `None` if the service was never published.
    pub based_on: Option<Offset>,
    /// New service file; `None` removes the service.
    pub text: Option<String>,
}

/// A record of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A publication, whose edits are applied all together or not at all.
    Publication {
        /// Identifier that the publisher reads back.
        id: Uuid,
        /// Edits by service.
        edits: BTreeMap<ServiceId, Edit>,
    },
    /// The state that all records up to `as_of` have built.
    Snapshot {
        /// Last offset included.
        as_of: Offset,
        /// The state.
        state: Config,
    },
}

/// A service file and its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Offset of the publication that set it.
    pub revision: Offset,
    /// Content; `None` once the service is removed.
    pub text: Option<String>,
}

/// Result of a publication.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Applied as this revision.
    Accepted(Offset),
    /// Not applied, since these services had changed.
    Conflict(Vec<ServiceId>),
}

/// The active configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Offset of the last accepted publication.
    pub revision: Option<Offset>,
    /// Services by name, including removed ones.
    pub services: BTreeMap<ServiceId, Version>,
    /// Verdicts of the latest publications, oldest first.
    pub verdicts: Vec<(Uuid, Verdict)>,
}

impl Config {
    /// Returns the verdict on a recent publication.
    pub fn verdict(&self, id: Uuid) -> Option<&Verdict> {
        self.verdicts
            .iter()
            .find(|(other, _)| *other == id)
            .map(|(_, verdict)| verdict)
    }

    /// Returns the active services with their files.
    pub fn active(&self) -> impl Iterator<Item = (&ServiceId, &str)> {
        self.services
            .iter()
            .filter_map(|(name, version)| Some((name, version.text.as_deref()?)))
    }

    fn apply_edits(&mut self, offset: Offset, edits: &BTreeMap<ServiceId, Edit>) -> Verdict {
        let current = |name| self.services.get(name).map(|version| version.revision);
        let changed: Vec<ServiceId> = edits
            .iter()
            .filter(|(name, edit)| current(*name) != edit.based_on)
            .map(|(name, _)| name.clone())
            .collect();
        if !changed.is_empty() {
            return Verdict::Conflict(changed);
        }
        for (name, edit) in edits {
            let version = Version {
                revision: offset,
                text: edit.text.clone(),
            };
            self.services.insert(name.clone(), version);
        }
        self.revision = Some(offset);
        Verdict::Accepted(offset)
    }
}

impl Fold for Config {
    type Record = Record;

    const NEEDS_SNAPSHOT: bool = true;

    fn fold(&mut self, offset: Offset, record: &Record) {
        let Record::Publication { id, edits } = record else {
            return;
        };
        if self.verdict(*id).is_some() {
            return;
        }
        let verdict = self.apply_edits(offset, edits);
        self.verdicts.push((*id, verdict));
        if self.verdicts.len() > MAX_VERDICTS {
            self.verdicts.remove(0);
        }
    }

    fn snapshot(record: &Record) -> Option<(Offset, Config)> {
        match record {
            Record::Snapshot { as_of, state } => Some((*as_of, state.clone())),
            Record::Publication { .. } => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn publication(based_on: Option<Offset>, text: &str) -> Record {
        let edit = Edit {
            based_on,
            text: Some(text.to_owned()),
        };
        Record::Publication {
            id: Uuid::now_v7(),
            edits: BTreeMap::from([("s".into(), edit)]),
        }
    }

    #[test]
    fn the_first_of_two_racing_publications_wins() {
        let mut config = Config::default();
        let winner = publication(None, "a");
        config.fold(0, &winner);
        config.fold(1, &publication(None, "b"));
        assert_eq!(config.services["s"].text.as_deref(), Some("a"));
        assert_eq!(config.verdicts[1].1, Verdict::Conflict(vec!["s".into()]));
        config.fold(2, &winner);
        assert_eq!(config.verdicts.len(), 2);
        assert_eq!(config.revision, Some(0));
    }

    #[test]
    fn a_late_first_publication_does_not_bring_back_a_removed_service() {
        let mut config = Config::default();
        config.fold(0, &publication(None, "a"));
        let removal = Edit {
            based_on: Some(0),
            text: None,
        };
        let record = Record::Publication {
            id: Uuid::now_v7(),
            edits: BTreeMap::from([("s".into(), removal)]),
        };
        config.fold(1, &record);
        config.fold(2, &publication(None, "a"));
        assert_eq!(config.active().count(), 0);
    }
}

//! The stored value of one organisation: its template with revision and history.
//!
//! Each change makes the next revision, a deletion included, which leaves a
//! tombstone. So revisions of a name only grow, also when it is created anew.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
    uuid::Uuid,
};

/// Prefix of the organisations' keys in the platform.
pub const KEY_PREFIX: &str = "/sycamorerail/organisations/";

/// Largest stored value, in bytes; the platform holds up to a megabyte.
pub const MAX_VALUE_BYTES: usize = 900 * 1024;

/// Largest template, in bytes of YAML.
pub const MAX_YAML_BYTES: usize = 256 * 1024;

/// Past revisions kept.
pub const MAX_HISTORY: usize = 20;

/// Most bytes of past revisions' YAML as stored. The newest past one is kept
/// beyond it, so that the last change can always be rolled back.
pub const MAX_HISTORY_YAML_BYTES: usize = 128 * 1024;

/// The platform's key of an organisation's record.
#[must_use]
pub fn key(organisation: &str) -> String {
    format!("{KEY_PREFIX}{organisation}")
}

/// The organisation whose record a key holds.
#[must_use]
pub fn organisation(key: &str) -> Option<&str> {
    key.strip_prefix(KEY_PREFIX).filter(|name| !name.is_empty())
}

/// Who made a change, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Identity of the change.
    pub change_id: Uuid,
    /// Operator.
    pub published_by: String,
    /// When, by the clock of the entry that published it.
    pub published_unix_ms: u64,
}

/// A past revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastRevision {
    /// Its number.
    pub revision: u64,
    /// Its change.
    #[serde(flatten)]
    pub stamp: Stamp,
    /// The organisation was deleted by it.
    pub deleted: bool,
    /// Its template; `None` once dropped to bound the value's size.
    pub yaml: Option<String>,
}

/// The stored value of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Number of the revision, one more with each change of the name.
    pub revision: u64,
    /// The change that made it.
    #[serde(flatten)]
    pub stamp: Stamp,
    /// The organisation is deleted; this is its tombstone.
    pub deleted: bool,
    /// The template; empty in a tombstone.
    pub yaml: String,
    /// Past revisions, newest first, without a gap.
    #[serde(default)]
    pub history: Vec<PastRevision>,
}

/// What became of a change, judged by a record read after it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It took effect, as this revision.
    Taken(u64),
    /// It did not take effect and never will: another one came before it.
    NeverTaken,
    /// It has not taken effect, and still may.
    Open,
    /// Its revision is older than the history kept.
    Forgotten,
}

/// The stored text is no record.
#[derive(Debug)]
pub struct UnreadableRecord(serde_json::Error);

impl fmt::Display for UnreadableRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stored record cannot be read: {}", self.0)
    }
}

impl std::error::Error for UnreadableRecord {}

/// The value would be larger than the platform holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValueTooLarge {
    /// Size without history.
    pub bytes: usize,
}

impl fmt::Display for ValueTooLarge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stored record would have {} bytes, at most {MAX_VALUE_BYTES}", self.bytes)
    }
}

impl std::error::Error for ValueTooLarge {}

impl Envelope {
    /// Reads a stored value.
    ///
    /// # Errors
    ///
    /// When the text is no record.
    pub fn decode(value: &str) -> Result<Self, UnreadableRecord> {
        serde_json::from_str(value).map_err(UnreadableRecord)
    }

    /// The text to store.
    #[must_use]
    pub fn encode(&self) -> String {
        // Plain strings and numbers always serialise.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Makes the revision after `previous`: a template, or a tombstone where
    /// `yaml` is `None`.
    ///
    /// # Errors
    ///
    /// When the value is too large even without past templates.
    pub fn next(
        previous: Option<&Self>,
        stamp: Stamp,
        yaml: Option<String>,
    ) -> Result<Self, ValueTooLarge> {
        let mut next = Self {
            revision: previous.map_or(0, |previous| previous.revision) + 1,
            stamp,
            deleted: yaml.is_none(),
            yaml: yaml.unwrap_or_default(),
            history: previous.map_or_else(Vec::new, Self::as_history),
        };
        next.drop_old_yaml()?;
        Ok(next)
    }

    /// Tells what became of a change that would have made `revision`.
    #[must_use]
    pub fn fate(&self, change_id: Uuid, revision: u64) -> Fate {
        if self.stamp.change_id == change_id {
            return Fate::Taken(self.revision);
        }
        if let Some(past) = self.history.iter().find(|past| past.stamp.change_id == change_id) {
            return Fate::Taken(past.revision);
        }
        if self.revision < revision {
            return Fate::Open;
        }
        let oldest = self.history.last().map_or(self.revision, |past| past.revision);
        if oldest <= revision { Fate::NeverTaken } else { Fate::Forgotten }
    }

    /// The change that made a revision, if it is kept.
    #[must_use]
    pub fn stamp_of(&self, revision: u64) -> Option<&Stamp> {
        if revision == self.revision {
            return Some(&self.stamp);
        }
        let past = self.history.iter().find(|past| past.revision == revision)?;
        Some(&past.stamp)
    }

    /// Whether a revision that is kept deleted the organisation.
    #[must_use]
    pub fn is_deletion(&self, revision: u64) -> bool {
        if revision == self.revision {
            return self.deleted;
        }
        self.history.iter().any(|past| past.revision == revision && past.deleted)
    }

    /// The template of a revision, if it is kept and no tombstone.
    #[must_use]
    pub fn yaml_of(&self, revision: u64) -> Option<&str> {
        if revision == self.revision {
            return (!self.deleted).then_some(self.yaml.as_str());
        }
        let past = self.history.iter().find(|past| past.revision == revision)?;
        past.yaml.as_deref().filter(|_| !past.deleted)
    }

    fn as_history(&self) -> Vec<PastRevision> {
        let newest = PastRevision {
            revision: self.revision,
            stamp: self.stamp.clone(),
            deleted: self.deleted,
            yaml: (!self.deleted).then(|| self.yaml.clone()),
        };
        let older = self.history.iter().take(MAX_HISTORY - 1).cloned();
        std::iter::once(newest).chain(older).collect()
    }

    /// Drops past templates, oldest first, until the value is within bounds.
    fn drop_old_yaml(&mut self) -> Result<(), ValueTooLarge> {
        let past: Vec<_> = self.history.iter_mut().map(|past| past.yaml.take()).collect();
        let bytes = self.encode().len();
        if bytes > MAX_VALUE_BYTES {
            return Err(ValueTooLarge { bytes });
        }
        let free_bytes = MAX_VALUE_BYTES - bytes;
        let mut used_bytes = 0;
        for (position, yaml) in past.into_iter().enumerate() {
            let Some(yaml) = yaml else { continue };
            used_bytes += stored_bytes(&yaml);
            let bound = if position == 0 { free_bytes } else { MAX_HISTORY_YAML_BYTES };
            if used_bytes > bound.min(free_bytes) {
                break;
            }
            self.history[position].yaml = Some(yaml);
        }
        Ok(())
    }
}

/// Size of a text within the value, escapes included.
fn stored_bytes(text: &str) -> usize {
    serde_json::to_string(text).map_or(usize::MAX, |json| json.len())
}

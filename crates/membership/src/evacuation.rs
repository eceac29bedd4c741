//! Operators' words on data centres that are to get no new work.
//!
//! Each data centre has one record, which is never deleted: a data centre taken back
//! keeps its record as a tombstone. So a swap that was sent and whose answer was lost can
//! never take effect after a later word: both compare the record's revision.

use {
    crate::{
        keys::EVACUATIONS,
        record::{self, EvacuationRecord},
    },
    std::{
        collections::BTreeSet,
        fmt,
        time::{Duration, Instant},
    },
    sycamorerail_platform::{
        Effect, Expected, KeyValue, Platform, PlatformError, Swap,
        backoff::{Backoff, jittered},
        table::Table,
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::runs::Evacuations,
    tokio::time::sleep,
};

/// A word is tried for this long: an operator waits for it.
pub const SETTLE_WITHIN: Duration = Duration::from_secs(3);

/// Other operators' changes in a row against which a word loses before it gives way.
const MAX_SWAPS: usize = 4;

/// When to come back after the platform did not take a word, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 2_000;

/// A word that stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The record.
    pub record: EvacuationRecord,
    /// Platform revision of its last change; 0 where no record was ever written.
    pub revision: u64,
    /// It was changed by this call.
    pub changed: bool,
}

/// Why a word is not known to stand.
#[derive(Debug)]
pub enum WordError {
    /// Another operator's opposite word came after this one was sent, or in its place.
    Conflict(Box<Standing>),
    /// The platform did not take it, and it never will take effect.
    NotRun(PlatformError),
    /// It may have taken effect, or may still. Saying it again is harmless.
    InDoubt(PlatformError),
}

impl fmt::Display for WordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(standing) => write!(f, "revision {} stands", standing.revision),
            Self::NotRun(error) => write!(f, "not taken: {error}"),
            Self::InDoubt(error) => write!(f, "in doubt: {error}"),
        }
    }
}

impl std::error::Error for WordError {}

/// Platform key of a data centre's record.
#[must_use]
pub fn key(data_centre: &str) -> String {
    format!("{EVACUATIONS}{data_centre}")
}

/// The words that stand, by data centre, those taken back left out.
pub fn standing(copy: &Table) -> impl Iterator<Item = (&str, Standing)> {
    let items = copy.list(EVACUATIONS).filter(|item| item.modified <= copy.mark());
    items.filter_map(|item| {
        let record = read(item)?;
        let name = item.key.strip_prefix(EVACUATIONS).filter(|name| !name.is_empty())?;
        let standing = Standing { record, revision: item.modified, changed: false };
        standing.record.evacuated.then_some((name, standing))
    })
}

/// The evacuations that a copy of the platform's records shows.
#[must_use]
pub fn in_force(copy: &Table) -> Evacuations {
    let data_centres = standing(copy).map(|(name, _)| name.to_owned()).collect();
    Evacuations { revision: copy.mark(), data_centres }
}

/// Logs records that cannot be read, each once. They are passed over.
#[derive(Debug, Default)]
pub struct UnreadableLog {
    /// Keys and revisions of those that the last copy had.
    logged: BTreeSet<(String, u64)>,
}

impl UnreadableLog {
    /// Looks at a copy of the platform's records.
    pub fn look(&mut self, copy: &Table) {
        let unreadable = copy.list(EVACUATIONS).filter(|item| read(item).is_none());
        let unreadable: BTreeSet<_> =
            unreadable.map(|item| (item.key.clone(), item.modified)).collect();
        for (key, revision) in unreadable.difference(&self.logged) {
            event!(Warn, "evacuation_unreadable", key = key, revision = revision);
        }
        self.logged = unreadable;
    }
}

fn read(item: &KeyValue) -> Option<EvacuationRecord> {
    record::from_json(&item.value)
}

/// Makes a word stand. Where the same word stands already nothing is changed.
///
/// # Errors
///
/// Why it is not known to stand.
pub async fn say(
    platform: &Platform,
    data_centre: &str,
    word: &EvacuationRecord,
) -> Result<Standing, WordError> {
    let begun = Instant::now();
    let mut saying = Saying { platform, key: key(data_centre), word, sent_against: None };
    let mut backoff = Backoff::default();
    loop {
        let error = match saying.attempt().await {
            Ok(said) => return said,
            Err(error) => error,
        };
        let pause = jittered(backoff.pause_ms(0));
        if begun.elapsed() + pause >= SETTLE_WITHIN {
            return Err(if saying.sent_against.is_some() {
                WordError::InDoubt(error)
            } else {
                WordError::NotRun(error)
            });
        }
        sleep(pause).await;
    }
}

struct Saying<'a> {
    platform: &'a Platform,
    key: String,
    word: &'a EvacuationRecord,
    /// Revision of the record that a swap compared whose answer was lost; 0 for none.
    sent_against: Option<u64>,
}

impl Saying<'_> {
    /// Reads the record and swaps it, until it is decided or a call fails.
    async fn attempt(&mut self) -> Result<Result<Standing, WordError>, PlatformError> {
        let mut current = self.platform.get(&self.key).await?;
        for _ in 0..MAX_SWAPS {
            if let Some(decided) = self.decided(current.as_ref()) {
                return Ok(decided);
            }
            match self.swap(current.as_ref()).await? {
                Swap::Done { mark } => {
                    let record = self.word.clone();
                    return Ok(Ok(Standing { record, revision: mark, changed: true }));
                }
                Swap::Lost { current: found } => current = found,
            }
        }
        Ok(Err(WordError::Conflict(Box::new(self.standing(current.as_ref())))))
    }

    async fn swap(&mut self, current: Option<&KeyValue>) -> Result<Swap, PlatformError> {
        let expected = current.map_or(Expected::Absent, |item| Expected::Modified(item.modified));
        let value = record::to_json(self.word);
        let swapped = self.platform.swap(&self.key, expected, &value, None, &[]).await;
        if swapped.as_ref().is_err_and(|error| error.effect == Effect::Open) {
            self.sent_against = Some(revision(current));
        }
        swapped
    }

    /// What the record decides; `None` if a swap has to.
    fn decided(&self, current: Option<&KeyValue>) -> Option<Result<Standing, WordError>> {
        let standing = self.standing(current);
        let is_readable = current.is_none_or(|item| read(item).is_some());
        if is_readable && standing.record.evacuated == self.word.evacuated {
            return Some(Ok(standing));
        }
        let has_changed = self.sent_against.is_some_and(|sent| sent != revision(current));
        has_changed.then(|| Err(WordError::Conflict(Box::new(standing))))
    }

    /// What stands by the record: without one that can be read, nothing is evacuated.
    fn standing(&self, current: Option<&KeyValue>) -> Standing {
        let nothing = EvacuationRecord { evacuated: false, ..self.word.clone() };
        let record = current.and_then(read).unwrap_or(nothing);
        let changed = current.is_some() && record.change_id == self.word.change_id;
        Standing { record, revision: revision(current), changed }
    }
}

fn revision(current: Option<&KeyValue>) -> u64 {
    current.map_or(0, |item| item.modified)
}

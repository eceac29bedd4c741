//! The set of templates in force at this process.
//!
//! It follows the mirror of the platform's prefix. An organisation's revision
//! only grows: an older record is left out and counted. A record that cannot
//! be read leaves the previous one in force.

use {
    crate::{
        envelope::{self, Envelope, KEY_PREFIX, PastRevision, Stamp},
        validate::validate,
    },
    arc_swap::ArcSwap,
    parking_lot::Mutex,
    std::{
        collections::{BTreeMap, HashMap},
        sync::{
            Arc, Weak,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
    sycamorerail_platform::{KeyValue, Mirror},
    sycamorerail_settings::template::Template,
    sycamorerail_telemetry::{
        event,
        invariant::{self, Invariant},
    },
    sycamorerail_wire::message::{ConfigMark, TemplateRecord},
    tokio::{sync::watch, task::JoinHandle},
};

/// Most bytes of records handed to a peer at once, unless one alone is larger.
pub const MAX_PAGE_BYTES: usize = 2 * 1024 * 1024;

/// What is in force for one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Platform revision at which it was stored.
    pub mark: ConfigMark,
    /// Revision in force. Older than the one stored where that is not valid
    /// for this build.
    pub revision: u64,
    /// The change that made it.
    pub stamp: Stamp,
    /// The template; `None` if the organisation is deleted.
    pub template: Option<Template>,
}

/// The set in force.
#[derive(Clone, Debug, Default)]
pub struct Set {
    /// Highest platform revision of a record in it.
    pub mark: ConfigMark,
    /// Records by organisation, tombstones included.
    pub records: BTreeMap<String, Arc<Record>>,
}

impl Set {
    /// Templates in force with their revisions, deleted organisations left out.
    pub fn templates(&self) -> impl Iterator<Item = (u64, &Template)> {
        self.records.values().filter_map(|record| {
            record.template.as_ref().map(|template| (record.revision, template))
        })
    }

    /// Revision in force by organisation, tombstones included.
    #[must_use]
    pub fn revisions(&self) -> Vec<(String, u64)> {
        self.records.iter().map(|(name, record)| (name.clone(), record.revision)).collect()
    }
}

/// The set in force. Clones share it.
#[derive(Clone, Debug)]
pub struct InForce {
    shared: Arc<Shared>,
    _follow: Arc<Follow>,
}

#[derive(Debug)]
struct Follow(JoinHandle<()>);

impl Drop for Follow {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Shared {
    mirror: Mirror,
    set: ArcSwap<Set>,
    /// Taken by whoever changes the set: the marks of records left out.
    left_out: Mutex<HashMap<String, u64>>,
    changed: watch::Sender<ConfigMark>,
    ready: AtomicBool,
    seen: AtomicU64,
}

/// Why a record is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeftOut {
    Older,
    Unreadable,
    Invalid,
}

impl LeftOut {
    fn name(self) -> &'static str {
        match self {
            Self::Older => "older",
            Self::Unreadable => "unreadable",
            Self::Invalid => "invalid",
        }
    }
}

impl InForce {
    /// Starts to follow a mirror of a prefix that holds [`KEY_PREFIX`]. Needs
    /// a tokio runtime.
    #[must_use]
    pub fn start(mirror: Mirror) -> Self {
        let woken = mirror.subscribe();
        let shared = Arc::new(Shared {
            mirror,
            set: ArcSwap::default(),
            left_out: Mutex::default(),
            changed: watch::Sender::new(ConfigMark(0)),
            ready: AtomicBool::new(false),
            seen: AtomicU64::new(0),
        });
        let follow = tokio::spawn(follow(Arc::downgrade(&shared), woken));
        Self { shared, _follow: Arc::new(Follow(follow)) }
    }

    /// The set in force.
    #[must_use]
    pub fn load(&self) -> Arc<Set> {
        self.shared.set.load_full()
    }

    /// Whether there is a set: a full copy from the platform, or a peer's.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.shared.ready.load(Ordering::Acquire)
    }

    /// Wakes on each new set, and once there is one at all; the value is its
    /// mark.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<ConfigMark> {
        self.shared.changed.subscribe()
    }

    /// The mirror that feeds the set.
    #[must_use]
    pub fn mirror(&self) -> &Mirror {
        &self.shared.mirror
    }

    /// Takes note of a mark that another process told: has the mirror poll
    /// soon, unless its watch brings the change meanwhile.
    pub fn seen_mark(&self, mark: ConfigMark) {
        let before = self.shared.seen.fetch_max(mark.0, Ordering::AcqRel);
        if before < mark.0 || self.behind() {
            self.shared.mirror.seen_elsewhere(mark.0);
        }
    }

    /// Whether another process told of a change that is not here yet.
    #[must_use]
    pub fn behind(&self) -> bool {
        let table = self.shared.mirror.snapshot();
        self.shared.seen.load(Ordering::Acquire) > table.newest().max(table.mark())
    }

    /// Records newer than `since`, oldest first, for a peer. One page: the
    /// peer asks again from the last one's mark until nothing comes.
    #[must_use]
    pub fn records_since(&self, since: ConfigMark) -> Vec<TemplateRecord> {
        let table = self.shared.mirror.snapshot();
        let mut newer: Vec<_> =
            table.list(KEY_PREFIX).filter(|item| item.modified > since.0).collect();
        newer.sort_by_key(|item| item.modified);
        let mut page_bytes = 0;
        let within = |item: &&KeyValue| {
            let first = page_bytes == 0;
            page_bytes += item.value.len();
            first || page_bytes <= MAX_PAGE_BYTES
        };
        newer.into_iter().take_while(within).filter_map(template_record).collect()
    }

    /// Takes records of a peer. Call it with all pages of a ready peer: from
    /// then on there is a set.
    pub fn take_from_peer(&self, records: Vec<TemplateRecord>) {
        let whole = !records.is_empty();
        self.shared.mirror.apply_from_peer(records.into_iter().map(key_value).collect());
        if whole {
            self.shared.ready.store(true, Ordering::Release);
        }
        self.shared.refresh();
        self.shared.changed.send_replace(self.load().mark);
    }

    /// Takes an item known to be stored in the platform, ahead of the watch.
    pub(crate) fn take(&self, item: &KeyValue) {
        let known = self.shared.mirror.snapshot().get(&item.key).map_or(0, |known| known.modified);
        if known < item.modified {
            self.shared.mirror.apply_from_peer(vec![item.clone()]);
            self.shared.refresh();
        }
    }
}

async fn follow(shared: Weak<Shared>, mut woken: watch::Receiver<u64>) {
    loop {
        let Some(shared) = shared.upgrade() else { return };
        shared.refresh();
        drop(shared);
        if woken.changed().await.is_err() {
            return;
        }
    }
}

impl Shared {
    /// Puts in force what the mirror has and the set has not.
    fn refresh(&self) {
        let mut left_out = self.left_out.lock();
        let table = self.mirror.snapshot();
        let old = self.set.load_full();
        let mut new = Set::clone(&old);
        // Records may come out of their order, so the mark tells no change.
        let mut changed = table.synced() && !self.ready.load(Ordering::Acquire);
        for item in table.list(KEY_PREFIX) {
            let Some(name) = envelope::organisation(&item.key) else { continue };
            let same = old.records.get(name).is_some_and(|known| known.mark.0 == item.modified);
            if same || left_out.get(name) == Some(&item.modified) {
                continue;
            }
            changed = true;
            if let Err(why) = take_record(&mut new, name, item) {
                left_out.insert(name.to_owned(), item.modified);
                count_left_out(name, item, why);
            }
        }
        if changed {
            let mark = new.mark;
            self.set.store(Arc::new(new));
            self.ready.fetch_or(table.synced(), Ordering::AcqRel);
            self.changed.send_replace(mark);
        }
    }
}

/// Takes a stored item into the set, as far as it is newer and valid.
fn take_record(set: &mut Set, name: &str, item: &KeyValue) -> Result<(), LeftOut> {
    let envelope = Envelope::decode(&item.value).map_err(|_| LeftOut::Unreadable)?;
    let before = set.records.get(name).map_or(0, |known| known.revision);
    if envelope.revision <= before {
        return Err(LeftOut::Older);
    }
    let mark = ConfigMark(item.modified);
    if let Some(record) = newest_record(name, &envelope, mark) {
        return put_in_force(set, name, record);
    }
    // A process that was there before kept the last valid one in force.
    let past = envelope.history.iter().find_map(|past| past_record(name, past, mark));
    if let Some(record) = past.filter(|past| past.revision > before) {
        put_in_force(set, name, record)?;
    }
    Err(LeftOut::Invalid)
}

fn newest_record(name: &str, envelope: &Envelope, mark: ConfigMark) -> Option<Record> {
    let (revision, stamp) = (envelope.revision, envelope.stamp.clone());
    let template = match envelope.deleted {
        true => None,
        false => Some(validate(name, &envelope.yaml).ok()?),
    };
    Some(Record { mark, revision, stamp, template })
}

fn past_record(name: &str, past: &PastRevision, mark: ConfigMark) -> Option<Record> {
    let (revision, stamp) = (past.revision, past.stamp.clone());
    let template = match past.deleted {
        true => None,
        false => Some(validate(name, past.yaml.as_deref()?).ok()?),
    };
    Some(Record { mark, revision, stamp, template })
}

fn put_in_force(set: &mut Set, name: &str, record: Record) -> Result<(), LeftOut> {
    let before = set.records.get(name).map_or(0, |known| known.revision);
    if !invariant::check(Invariant::RevisionGrows, record.revision > before, &name) {
        return Err(LeftOut::Older);
    }
    event!(
        Info,
        "template_in_force",
        organisation = name,
        revision = record.revision,
        mark = record.mark.0,
        change = record.stamp.change_id,
        deleted = record.template.is_none()
    );
    count("in_force");
    set.mark = set.mark.max(record.mark);
    set.records.insert(name.to_owned(), Arc::new(record));
    Ok(())
}

fn count_left_out(name: &str, item: &KeyValue, why: LeftOut) {
    count(why.name());
    event!(
        Warn,
        "template_left_out",
        organisation = name,
        mark = item.modified,
        reason = why.name()
    );
}

fn count(result: &'static str) {
    metrics::counter!("sycamorerail_template_records_total", "result" => result).increment(1);
}

fn template_record(item: &KeyValue) -> Option<TemplateRecord> {
    let organisation = envelope::organisation(&item.key)?.to_owned();
    Some(TemplateRecord {
        organisation,
        mark: ConfigMark(item.modified),
        value: item.value.clone(),
    })
}

fn key_value(record: TemplateRecord) -> KeyValue {
    KeyValue {
        key: envelope::key(&record.organisation),
        value: record.value,
        created: 0,
        modified: record.mark.0,
        lease: 0,
    }
}

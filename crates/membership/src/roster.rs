//! A plain roster of entries: each keeps its address in the platform under a lease, with the
//! number of the list of voters that it has adopted. An entry whose lease ends is missing here; it
//! stays a voter until the others have agreed on a list without it.

use {
    crate::{presence, voters},
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc},
    sycamorerail_decide::{
        claims::ClaimLimits,
        voters::{RosterEntry, RosterLease, VotersRead},
    },
    sycamorerail_platform::{KeyValue, Mirror, Platform, backoff::jittered},
    sycamorerail_telemetry::event,
    sycamorerail_wire::runs::{EntryAddress, VoterList},
    tokio::{sync::watch, time::sleep},
};

/// Prefix of the entries' addresses.
pub(crate) const PREFIX: &str = "sycamorerail/roster/";
/// A lease lasts so many of the platform's shortest ones: entries that lost
/// theirs in an outage write anew, and one that died goes in a few seconds.
const SHORTEST_LEASES: u32 = 3;
/// Pause between polls beside the watch.
const POLL_MS: u32 = 3_000;
/// Pause between polls of the list of voters beside its watch, which seldom changes.
const VOTERS_POLL_MS: u32 = 15_000;
/// First and longest pause between two readings of an agent that is linked to no entry.
///
/// After a loss of power everywhere the three entries that an agent was told of may be
/// the last to come back: the first link was made 300 ms after entries and agents were
/// up, while callers' requests waited.
const SEARCH_PAUSE_MS: (u64, u64) = (100, 1_500);

/// What an entry knows of the entries in the platform's roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Roster {
    /// The entries, this one among them.
    pub entries: Vec<EntryAddress>,
    /// Whether the roster was read in this process. Otherwise, a missing address tells nothing.
    pub is_read: bool,
}

/// An entry of the roster, and what it is told.
pub struct Member {
    /// The entry.
    pub entry: EntryAddress,
    /// Limits of claims, which tell when a change of voters has settled.
    pub limits: ClaimLimits,
    /// Its clock, in milliseconds.
    pub now_ms: Box<dyn Fn() -> u64 + Send + Sync>,
    /// The list of voters that it has adopted.
    pub voters: watch::Receiver<Option<Arc<VoterList>>>,
    /// The roster was read, or is not read yet.
    pub set_roster: Box<dyn Fn(Roster) + Send + Sync>,
    /// The list of voters was read, as of a revision of the platform.
    pub read_voters: Box<dyn Fn(VotersRead, u64) + Send + Sync>,
    /// It is in the roster under a lease; `None` if that has ended.
    pub set_lease: Box<dyn Fn(Option<RosterLease>) + Send + Sync>,
}

/// Keeps an entry in the roster, tells it of all entries there and of the voters, and changes the
/// list of voters as entries join and are gone.
pub fn join(platform: &Platform, shortest_lease_ms: u32, member: Member) {
    let member = Arc::new(member);
    let lease_ms = shortest_lease_ms * SHORTEST_LEASES;
    let roster = Mirror::start(platform.clone(), PREFIX, POLL_MS);
    let list = Mirror::start(platform.clone(), voters::KEY, VOTERS_POLL_MS);
    tokio::spawn(presence::hold(platform.clone(), Arc::clone(&member), list.clone(), lease_ms));
    tokio::spawn(follow(Arc::clone(&member), roster.clone()));
    tokio::spawn(voters::follow(Arc::clone(&member), list.clone()));
    tokio::spawn(voters::change_on(platform.clone(), member, list, roster, lease_ms));
}

async fn follow(member: Arc<Member>, mirror: Mirror) {
    let own = &member.entry;
    let mut changed = mirror.subscribe();
    let mut reader = RosterReader::default();
    loop {
        changed.borrow_and_update();
        // Before the list: what is read in between must not count as listed.
        let is_read = mirror.synced();
        let mut entries = reader.entries(&mirror.list(PREFIX));
        if !entries.contains(own) {
            entries.push(own.clone());
        }
        (member.set_roster)(Roster { entries, is_read });
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Reads the roster for an agent as long as it has no entry.
pub async fn search_on(
    platform: Platform,
    is_alone: impl Fn() -> bool,
    on_found: impl Fn(Vec<SocketAddr>),
) {
    let mut reader = RosterReader::default();
    let mut pause_ms = SEARCH_PAUSE_MS.0;
    loop {
        sleep(jittered(pause_ms)).await;
        if !is_alone() {
            // Nothing to read: it knows entries to dial first, should it lose its links.
            pause_ms = SEARCH_PAUSE_MS.1;
            continue;
        }
        pause_ms = (pause_ms * 2).min(SEARCH_PAUSE_MS.1);
        match platform.range(PREFIX).await {
            Ok(range) => on_found(reader.addresses(&range.items)),
            Err(error) => event!(Info, "roster_unread", error = error),
        }
    }
}

/// Reads entries' addresses. An item that holds none was written by somebody else: it
/// is left out, logged once and counted, and the others hold.
#[derive(Debug, Default)]
pub struct RosterReader {
    /// Keys and revisions of such items that the last reading met.
    refused: BTreeSet<(String, u64)>,
}

impl RosterReader {
    /// Addresses in the items of the roster.
    pub fn addresses(&mut self, items: &[KeyValue]) -> Vec<SocketAddr> {
        self.entries(items).into_iter().map(|entry| entry.address).collect()
    }

    /// Entries in the items of the roster.
    pub fn entries(&mut self, items: &[KeyValue]) -> Vec<EntryAddress> {
        self.roster_entries(items).into_iter().map(|entry| entry.entry).collect()
    }

    /// The same with the lists of voters that they have adopted.
    pub fn roster_entries(&mut self, items: &[KeyValue]) -> Vec<RosterEntry> {
        let mut entries = Vec::with_capacity(items.len());
        let mut refused = BTreeSet::new();
        for item in items {
            match read_entry(&item.value) {
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    self.tell_refused(item, &error);
                    refused.insert((item.key.clone(), item.modified));
                }
            }
        }
        self.refused = refused;
        entries
    }

    fn tell_refused(&self, item: &KeyValue, error: &str) {
        if self.refused.contains(&(item.key.clone(), item.modified)) {
            return;
        }
        metrics::counter!("sycamorerail_roster_refused_total").increment(1);
        event!(
            Warn,
            "roster_entry_refused",
            key = item.key,
            revision = item.modified,
            error = error
        );
    }
}

/// The key of an entry in the roster.
pub(crate) fn entry_key(address: SocketAddr) -> String {
    format!("{PREFIX}{address}")
}

/// The value of an entry in the roster.
pub(crate) fn write_entry(entry: &EntryAddress, voters_number: u64) -> String {
    format!("{} {} #{voters_number}", entry.address, entry.data_centre)
}

/// Reads an address, the name of a data centre and the number of a list of voters, as far as they
/// follow.
fn read_entry(value: &str) -> Result<RosterEntry, String> {
    let (address, place) = value.split_once(' ').unwrap_or((value, ""));
    let address: SocketAddr = address.parse().map_err(|error| format!("address: {error}"))?;
    // Connections to it fail, and each takes the turn of an entry that answers.
    if address.port() == 0 {
        return Err("port: 0 names no entry".to_owned());
    }
    let numbered = place.rsplit_once(" #");
    let numbered = numbered.and_then(|(place, number)| Some((place, number.parse().ok()?)));
    let (data_centre, voters_number) = numbered.unwrap_or((place, 0));
    let entry = EntryAddress { address, data_centre: data_centre.to_owned() };
    Ok(RosterEntry { entry, voters_number })
}

//! An entry's key in the roster, which lives as long as the entry does.

use {
    crate::{
        lease_key::{LeasedKey, beat_pause, write_key},
        roster::{Member, entry_key, write_entry},
    },
    std::sync::Arc,
    sycamorerail_decide::voters::RosterLease,
    sycamorerail_platform::{Expected, Mirror, Platform, Swap},
    sycamorerail_telemetry::event,
    tokio::time::sleep,
};

/// A lease counts as ended so long before it may end, in milliseconds: two percent of it for
/// clocks that are apart, and the way of a message.
const LEASE_MARGIN_MS: u64 = 300;

/// Holds the key for as long as the future is polled.
pub(crate) async fn hold(platform: Platform, member: Arc<Member>, list: Mirror, lease_ms: u32) {
    let mut presence = Presence { platform, member, lease_ms };
    loop {
        presence.hold_once(&list).await;
        (presence.member.set_lease)(None);
        sleep(beat_pause(lease_ms)).await;
    }
}

struct Presence {
    platform: Platform,
    member: Arc<Member>,
    lease_ms: u32,
}

impl Presence {
    /// Tells the entry of its lease, which was granted or renewed by a call at some time.
    fn set_lease(&self, revision: u64, called_ms: u64) {
        let until_ms = called_ms + u64::from(self.lease_ms).saturating_sub(LEASE_MARGIN_MS);
        (self.member.set_lease)(Some(RosterLease { revision, until_ms }));
    }

    /// Writes the key under a new lease, and keeps it until the lease is lost.
    async fn hold_once(&mut self, list: &Mirror) {
        let mut voters = self.member.voters.clone();
        let key = entry_key(self.member.entry.address);
        let number = voters.borrow_and_update().as_ref().map_or(0, |list| list.number);
        let value = write_entry(&self.member.entry, number);
        let called_ms = (self.member.now_ms)();
        let written = match write_key(&self.platform, &key, &value, self.lease_ms).await {
            Ok(written) => written,
            Err(error) => return event!(Info, "key_not_written", key = key, error = error),
        };
        self.set_lease(written.revision, called_ms);
        // The lease counts once the list of voters is known as of its begin.
        if let Err(error) = list.sync().await {
            event!(Info, "voters_unread", error = error);
        }
        self.keep(&key, written).await;
    }

    /// Renews the lease, and writes the number of each list of voters that the entry adopts as a
    /// change is under way.
    async fn keep(&self, key: &str, written: LeasedKey) {
        let LeasedKey { lease, revision } = written;
        let mut voters = self.member.voters.clone();
        let mut written_revision = revision;
        let mut is_written = true;
        loop {
            let is_beat = tokio::select! {
                changed = voters.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    false
                }
                () = sleep(beat_pause(self.lease_ms)) => true,
            };
            let change = voters.borrow_and_update().clone().filter(|list| !list.next.is_empty());
            if let Some(list) = change.filter(|_| !is_beat || !is_written) {
                let value = write_entry(&self.member.entry, list.number);
                let expected = Expected::Modified(written_revision);
                match self.platform.swap(key, expected, &value, Some(lease), &[]).await {
                    Ok(Swap::Done { mark }) => (written_revision, is_written) = (mark, true),
                    Ok(Swap::Lost { .. }) => return,
                    // Tried again with the next beat, as the lease may be alive.
                    Err(error) => {
                        event!(Info, "key_not_written", key = key, error = error);
                        is_written = false;
                    }
                }
            }
            if is_beat {
                let called_ms = (self.member.now_ms)();
                match self.platform.keep_alive(lease).await {
                    Ok(true) => self.set_lease(revision, called_ms),
                    Ok(false) => return event!(Info, "lease_lost", lease = lease.0),
                    Err(error) => event!(Debug, "keep_alive_failed", error = error),
                }
            }
        }
    }
}

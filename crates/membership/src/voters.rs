//! The list of voters in the platform: one key without a lease, which entries change by
//! compare-and-swap.

use {
    crate::roster::{Member, PREFIX, RosterReader},
    std::{sync::Arc, time::Duration},
    sycamorerail_decide::voters::{VoterChanges, VotersRead},
    sycamorerail_platform::{Expected, Mirror, Platform, Swap},
    sycamorerail_telemetry::event,
    sycamorerail_wire::runs::VoterList,
    tokio::time::interval,
};

/// The key of the list.
pub(crate) const KEY: &str = "sycamorerail/voters";
/// Pause between looks at whether the list is to be changed.
const LOOK_PAUSE: Duration = Duration::from_millis(200);
/// So many entries read the roster anew as the list is changed, in case that others are gone.
const READERS: usize = 2;

/// Tells an entry of the list.
pub(crate) async fn follow(member: Arc<Member>, mirror: Mirror) {
    let mut changed = mirror.subscribe();
    loop {
        changed.borrow_and_update();
        let table = mirror.snapshot();
        if table.synced() {
            let read = table.get(KEY).map_or(VotersRead::Absent, |item| read_or_log(&item.value));
            (member.read_voters)(read, table.mark());
        }
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Changes the list as entries join and are gone.
pub(crate) async fn change_on(
    platform: Platform,
    member: Arc<Member>,
    list: Mirror,
    roster: Mirror,
    lease_ms: u32,
) {
    let own = member.entry.address;
    let mut changes = VoterChanges::new(own, member.limits, lease_ms.into());
    let mut reader = RosterReader::default();
    let mut looks = interval(LOOK_PAUSE);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    // Revision of the list for which the roster was read anew.
    let mut read_for = 0;
    loop {
        looks.tick().await;
        let (known, entries) = (list.snapshot(), roster.snapshot());
        if !known.synced() || !entries.synced() {
            continue;
        }
        let item = known.get(KEY);
        let in_force = item.and_then(|item| read(&item.value).ok());
        // A list that was removed or overwritten is not begun anew, as entries go on with it.
        let is_lost = in_force.is_none() && (item.is_some() || member.voters.borrow().is_some());
        if is_lost {
            continue;
        }
        let items: Vec<_> = entries.list(PREFIX).cloned().collect();
        let present = reader.roster_entries(&items);
        let revision = item.map_or(0, |item| item.modified);
        if entries.mark() < revision {
            let before = present.iter().filter(|entry| entry.entry.address < own).count();
            if read_for < revision && before < READERS {
                read_for = revision;
                roster.poke();
            }
            continue;
        }
        let next = changes.next(in_force.as_ref(), &present, (member.now_ms)());
        let Some(next) = next else { continue };
        let expected = if item.is_some() { Expected::Modified(revision) } else { Expected::Absent };
        write(&platform, &next, expected).await;
        if let Err(error) = list.sync().await {
            event!(Info, "voters_unread", error = error);
        }
    }
}

async fn write(platform: &Platform, list: &VoterList, expected: Expected) {
    let value = serde_json::to_string(list).expect("a list of addresses has a JSON form");
    match platform.swap(KEY, expected, &value, None, &[]).await {
        Ok(Swap::Done { mark }) => event!(
            Info,
            "voters_written",
            number = list.number,
            revision = mark,
            voters = list.voters.len(),
            next = list.next.len(),
        ),
        Ok(Swap::Lost { .. }) => event!(Info, "voters_written_by_another", number = list.number),
        Err(error) => event!(Warn, "voters_not_written", number = list.number, error = error),
    }
}

pub(crate) fn read(value: &str) -> serde_json::Result<VoterList> {
    serde_json::from_str(value)
}

fn read_or_log(value: &str) -> VotersRead {
    read(value).map_or_else(
        |error| {
            event!(Warn, "voters_refused", error = error);
            VotersRead::Unreadable
        },
        VotersRead::List,
    )
}

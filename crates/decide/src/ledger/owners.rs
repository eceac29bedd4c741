//! Entries that have runs here, and the reports that they have not confirmed.

use {
    std::collections::{BTreeMap, VecDeque},
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{RunEvent, RunReport, TaskKey},
    },
};

#[derive(Debug, Default)]
struct Owner {
    heard_ms: u64,
    unconfirmed: VecDeque<RunReport>,
}

/// All entries that were heard from and not dropped.
#[derive(Debug, Default)]
pub(super) struct Owners {
    owners: BTreeMap<Incarnation, Owner>,
    /// Shared by all entries, so that an entry that was dropped and returns does not take new
    /// reports for old ones.
    last_number: u64,
}

impl Owners {
    pub(super) fn note_contact(&mut self, owner: Incarnation, heard_ms: u64) {
        let owner = self.owners.entry(owner).or_default();
        owner.heard_ms = owner.heard_ms.max(heard_ms);
    }

    /// Adds an entry that was heard from then, unless it is known.
    pub(super) fn introduce(&mut self, owner: Incarnation, heard_ms: u64) {
        let new = Owner { heard_ms, ..Owner::default() };
        self.owners.entry(owner).or_insert(new);
    }

    /// Returns when an entry was last heard from.
    pub(super) fn contact_ms(&self, owner: Incarnation) -> Option<u64> {
        self.owners.get(&owner).map(|owner| owner.heard_ms)
    }

    /// Returns the earliest of the last contacts with the entries.
    pub(super) fn earliest_contact_ms(&self) -> Option<u64> {
        self.owners.values().map(|owner| owner.heard_ms).min()
    }

    pub(super) fn silent_owners(&self, now_ms: u64, timeout_ms: u64) -> Vec<Incarnation> {
        let silent = self.owners.iter().filter(|(_, owner)| now_ms >= owner.heard_ms + timeout_ms);
        silent.map(|(owner, _)| *owner).collect()
    }

    pub(super) fn silence_ms(&self, owner: Incarnation, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.contact_ms(owner).unwrap_or(now_ms))
    }

    pub(super) fn is_fresh(&self, owner: Incarnation, now_ms: u64, timeout_ms: u64) -> bool {
        self.contact_ms(owner).is_some_and(|heard_ms| now_ms < heard_ms + timeout_ms)
    }

    pub(super) fn remove(&mut self, owner: Incarnation) {
        self.owners.remove(&owner);
    }

    /// Adds a report. Reports to a dropped entry are discarded, as nobody reads them.
    pub(super) fn push_report(
        &mut self,
        owner: Incarnation,
        task: TaskKey,
        run: u32,
        event: RunEvent,
    ) {
        let Some(owner) = self.owners.get_mut(&owner) else { return };
        self.last_number += 1;
        owner.unconfirmed.push_back(RunReport { number: self.last_number, task, run, event });
    }

    pub(super) fn reports(&self, owner: Incarnation) -> Vec<RunReport> {
        let owner = self.owners.get(&owner);
        owner.map(|owner| owner.unconfirmed.iter().copied().collect()).unwrap_or_default()
    }

    pub(super) fn has_report(&self, owner: Incarnation, task: TaskKey, run: u32) -> bool {
        let is_of = |report: &RunReport| report.task == task && report.run == run;
        self.owners.get(&owner).is_some_and(|owner| owner.unconfirmed.iter().any(is_of))
    }

    pub(super) fn confirm_reports(&mut self, owner: Incarnation, number: u64) {
        let Some(owner) = self.owners.get_mut(&owner) else { return };
        while owner.unconfirmed.front().is_some_and(|report| report.number <= number) {
            owner.unconfirmed.pop_front();
        }
    }

    pub(super) fn is_confirmed(&self, owner: Incarnation) -> bool {
        self.owners.get(&owner).is_none_or(|owner| owner.unconfirmed.is_empty())
    }

    pub(super) fn all_confirmed(&self) -> bool {
        self.owners.values().all(|owner| owner.unconfirmed.is_empty())
    }
}

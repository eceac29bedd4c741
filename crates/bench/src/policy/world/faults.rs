//! Faults of a model.

use {
    super::{ANNOUNCED_AFTER, ANSWER_TIMEOUT, Event, World},
    crate::policy::{
        entry::ModelEntry,
        settings::{Fault, FaultKind},
        tally::End,
    },
};

impl World<'_> {
    pub(super) fn fault_begins(&mut self, number: usize) {
        let Fault { kind, count, strength, .. } = self.settings.faults[number];
        for index in 0..count as usize {
            match kind {
                FaultKind::Slow => self.set_slowness(index, strength),
                FaultKind::Hung => self.set_slowness(index, f64::INFINITY),
                FaultKind::Gone => self.lose_upstream(index),
                FaultKind::LateOrders => self.unanswered[index] = strength,
                FaultKind::EntryLost => self.lose_entry(index),
            }
        }
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        let Fault { kind, count, .. } = self.settings.faults[number];
        for index in 0..count as usize {
            match kind {
                FaultKind::Slow | FaultKind::Hung => self.set_slowness(index, 1.0),
                FaultKind::Gone => {
                    self.agents[index].upstream.come_back();
                    self.clock.after(ANNOUNCED_AFTER, Event::Announced(index));
                }
                FaultKind::LateOrders => self.unanswered[index] = 0.0,
                FaultKind::EntryLost => {
                    self.runs += 1;
                    self.entries[index] = ModelEntry::new(self.runs);
                    self.connect_all(index);
                }
            }
        }
    }

    pub(super) fn set_slowness(&mut self, agent: usize, slowness: f64) {
        let life = self.agents[agent].life;
        let dues = self.agents[agent].upstream.set_slowness(slowness, self.clock.now());
        for due in dues {
            self.clock.at(due.at, Event::RunEnds { agent, life, due });
        }
    }

    pub(super) fn lose_upstream(&mut self, agent: usize) {
        let life = self.agents[agent].life;
        let waiting = self.agents[agent].waiting.len();
        self.agents[agent].lose_upstream();
        for _ in 0..waiting {
            self.clock.after(ANSWER_TIMEOUT, Event::Renewed { agent, life, answer: None });
        }
    }

    pub(super) fn lose_entry(&mut self, entry: usize) {
        self.entries[entry].is_up = false;
        self.lost_at[entry] = self.clock.now();
        let mut lost: Vec<_> = self.entries[entry].jobs.drain().map(|(_, job)| job).collect();
        lost.sort_unstable();
        lost.into_iter().for_each(|job| self.ended(job, End::Lost));
    }
}

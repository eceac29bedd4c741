//! Virtual time and the events that are due in it.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

/// Time since the start, in microseconds.
pub type Micros = u64;

/// Microseconds of a millisecond.
pub const MS: Micros = 1_000;

/// Converts to the milliseconds that the decisions use.
#[must_use]
pub fn millis(at: Micros) -> u64 {
    at / MS
}

/// Event queue; events due at the same time are in the order in which they were added.
#[derive(Debug)]
pub struct Clock<E> {
    now: Micros,
    count: u64,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, E>,
}

impl<E> Default for Clock<E> {
    fn default() -> Self {
        Self { now: 0, count: 0, due: BinaryHeap::new(), events: HashMap::new() }
    }
}

impl<E> Clock<E> {
    /// Current time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Adds an event that is due after a delay.
    pub fn after(&mut self, delay: Micros, event: E) {
        self.at(self.now + delay, event);
    }

    /// Adds an event that is due at a given time, or now if that has passed.
    pub fn at(&mut self, moment: Micros, event: E) {
        self.count += 1;
        self.due.push(Reverse((moment.max(self.now), self.count)));
        self.events.insert(self.count, event);
    }

    /// Advances to the next event and returns it, if one is due before `end`.
    pub fn next_before(&mut self, end: Micros) -> Option<E> {
        let &Reverse((moment, number)) = self.due.peek()?;
        if moment >= end {
            return None;
        }
        self.due.pop();
        self.now = moment;
        self.events.remove(&number)
    }
}

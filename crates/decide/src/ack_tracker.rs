//! Tracks which messages a peer has acknowledged, to detect that ours no longer
//! arrive.
//!
//! A connection that fails in one direction still delivers the peer's messages.
//! Only the peer's acknowledgements show that ours arrive.

use std::collections::VecDeque;

/// Maximum number of send times kept. Beyond it, every other one is dropped.
const MAX_SENT: usize = 256;

/// Send times of the messages of one connection, numbered from 1.
#[derive(Clone, Debug)]
pub struct AckTracker {
    sent: VecDeque<(/* message */ u64, /* sent_ms */ u64)>,
    count: u64,
    acked_sent_ms: u64,
    has_ack: bool,
}

impl AckTracker {
    /// Starts tracking a connection that was established now.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self { sent: VecDeque::new(), count: 0, acked_sent_ms: now_ms, has_ack: false }
    }

    /// Records a message that is sent now and returns its number.
    pub fn record_sent(&mut self, now_ms: u64) -> u64 {
        self.count += 1;
        if self.sent.len() >= MAX_SENT {
            let mut keep = false;
            self.sent.retain(|_| {
                keep = !keep;
                keep
            });
        }
        self.sent.push_back((self.count, now_ms));
        self.count
    }

    /// Records that the peer has received the first `count` messages.
    pub fn record_ack(&mut self, count: u64) {
        while let Some((_, sent_ms)) = self.sent.front().filter(|(number, _)| *number <= count) {
            self.acked_sent_ms = *sent_ms;
            self.has_ack = true;
            self.sent.pop_front();
        }
    }

    /// Returns when the last acknowledged message was sent, in monotonic
    /// milliseconds; the start of the connection if there is none.
    #[must_use]
    pub fn acked_sent_ms(&self) -> u64 {
        self.acked_sent_ms
    }

    /// Like [`Self::acked_sent_ms`], but `None` if no message has been acknowledged.
    #[must_use]
    pub fn last_ack_sent_ms(&self) -> Option<u64> {
        self.has_ack.then_some(self.acked_sent_ms)
    }
}

//! Whether a peer hears us: the send time of our last message that it confirmed.
//!
//! A connection that is cut one way still brings the peer's messages. Only what
//! the peer says it heard shows that ours arrive.

use std::collections::VecDeque;

/// Send times kept at most; beyond them every other one is let go.
const MAX_SENT: usize = 256;

/// Messages of one connection, counted from 1.
#[derive(Clone, Debug)]
pub struct AckTracker {
    sent: VecDeque<(/* message */ u64, /* sent_ms */ u64)>,
    count: u64,
    acked_sent_ms: u64,
}

impl AckTracker {
    /// A connection that was made now.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self { sent: VecDeque::new(), count: 0, acked_sent_ms: now_ms }
    }

    /// Counts a message that is sent now; returns its number.
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

    /// The peer has heard so many messages.
    pub fn record_ack(&mut self, count: u64) {
        while let Some((_, sent_ms)) = self.sent.front().filter(|(number, _)| *number <= count) {
            self.acked_sent_ms = *sent_ms;
            self.sent.pop_front();
        }
    }

    /// When the last message was sent that the peer confirmed.
    #[must_use]
    pub fn acked_sent_ms(&self) -> u64 {
        self.acked_sent_ms
    }
}

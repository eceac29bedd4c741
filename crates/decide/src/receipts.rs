//! Counts messages received from a peer, and which of them may be acknowledged.
//!
//! The peer relies on an acknowledged message as a sign that its orders are still wanted. A
//! process that resumes after a stall finds messages that were sent while it stood still. If it
//! acknowledged them before it had done what fell due meanwhile, the peer would rely on orders
//! that are about to be withdrawn. A message is therefore acknowledged only after two later passes
//! over everything that is due; what they withdraw then goes ahead of the acknowledgement.
//!
//! One pass is not enough: it may have been waiting for its turn as the message was read, and so
//! go ahead of other events that were waiting, such as the end of a caller's connection. The second
//! one begins only after those have been handled.

/// Number of passes between a message and its acknowledgement.
pub const PASSES: usize = 2;

/// Messages received on one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Receipts {
    count: u64,
    /// Number of passes as of the last change of `counted`.
    passes: u64,
    /// Numbers of messages received before the last passes, the latest pass first.
    counted: [u64; PASSES],
}

impl Receipts {
    /// Records a message, given the number of passes completed so far.
    pub fn record(&mut self, passes: u64) {
        self.note_passes(passes);
        self.count += 1;
    }

    /// Returns the number of messages to acknowledge, given the number of passes completed so
    /// far.
    #[must_use]
    pub fn acknowledgeable(&mut self, passes: u64) -> u64 {
        self.note_passes(passes);
        self.counted[PASSES - 1]
    }

    fn note_passes(&mut self, passes: u64) {
        for _ in 0..passes.saturating_sub(self.passes).min(PASSES as u64) {
            self.counted.rotate_right(1);
            self.counted[0] = self.count;
        }
        self.passes = passes;
    }
}

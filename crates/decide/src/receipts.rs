//! Counts messages received from a peer, and which of them may be acknowledged.
//!
//! The peer relies on an acknowledged message as a sign that its orders are still wanted. A
//! process that resumes after a stall finds messages that were sent while it stood still. If it
//! acknowledged them before it had done what fell due meanwhile, the peer would rely on orders
//! that are about to be withdrawn. A message is therefore acknowledged only after a later pass
//! over everything that is due; what the pass withdraws then goes ahead of the acknowledgement.

/// Messages received on one connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Receipts {
    count: u64,
    /// Number of messages received before the last pass.
    settled: u64,
    /// Number of passes completed when the last message was received.
    passes: u64,
}

impl Receipts {
    /// Records a message, given the number of passes completed so far.
    pub fn record(&mut self, passes: u64) {
        self.settled = self.acknowledgeable(passes);
        self.count += 1;
        self.passes = passes;
    }

    /// Returns the number of messages to acknowledge, given the number of passes completed so
    /// far.
    #[must_use]
    pub fn acknowledgeable(&self, passes: u64) -> u64 {
        if passes > self.passes { self.count } else { self.settled }
    }
}

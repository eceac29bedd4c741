//! Connections between entries: messages on their way, and how claimants hold them.

use {
    std::collections::VecDeque,
    sycamorerail_wire::{
        ids::Incarnation,
        runs::{ClaimAnswers, ClaimRequests},
    },
};

/// Time for an answer, after which a connection is replaced, and the longest one.
pub const ANSWER_WITHIN_MS: u64 = 120;
pub const MAX_ANSWER_WITHIN_MS: u64 = 960;
pub const RECONNECT_PAUSE_MS: u64 = 50;
pub const CONNECT_WITHIN_MS: u64 = 150;

/// A connection. Each message has the time of its arrival.
pub struct Connection {
    pub number: u64,
    pub incarnation: Incarnation,
    pub to_holder: VecDeque<(u64, ClaimRequests)>,
    pub to_claimant: VecDeque<(u64, ClaimAnswers)>,
    /// When each message was sent that the holder has not answered yet; `None` if it did not tell
    /// that the claimant still wants its claims.
    pub unanswered: VecDeque<Option<u64>>,
    pub answer_by_ms: Option<u64>,
    pub answered: bool,
    /// Whether the holder has accepted it.
    pub is_known: bool,
    /// When its end reaches the holder once the claimant has ended it.
    pub ends_ms: u64,
}

impl Connection {
    pub fn new(number: u64, incarnation: Incarnation) -> Self {
        Self {
            number,
            incarnation,
            to_holder: VecDeque::new(),
            to_claimant: VecDeque::new(),
            unanswered: VecDeque::new(),
            answer_by_ms: None,
            answered: false,
            is_known: false,
            ends_ms: 0,
        }
    }
}

/// A claimant's link to a holder.
pub struct Link {
    /// What is to be sent.
    pub requests: ClaimRequests,
    pub is_filled: bool,
    pub connection: Option<Connection>,
    /// No connection is attempted before this time.
    pub retry_ms: u64,
    pub answer_within_ms: u64,
}

impl Link {
    pub fn new() -> Self {
        Self {
            requests: ClaimRequests::default(),
            is_filled: false,
            connection: None,
            retry_ms: 0,
            answer_within_ms: ANSWER_WITHIN_MS,
        }
    }
}

/// A connection that its claimant has ended, and whose end the holder has not read.
pub struct Ended {
    pub claimant: usize,
    pub holder: usize,
    pub connection: Connection,
}

//! Tells a message that was held up, or one odd message of a foreign writer, from a writer that
//! goes on saying something else than what is known.

/// Number of messages in a row after which the writer is believed.
const MIN_MESSAGES: u32 = 3;
/// Minimum time from the first of them, in milliseconds. Upstreams announce themselves every
/// 1.5 s; messages that were held up together arrive together.
const MIN_TIME_MS: u64 = 2_500;

/// Messages in a row that contradict what is known.
#[derive(Clone, Copy, Debug)]
pub struct Contradiction {
    since_ms: u64,
    messages: u32,
}

impl Contradiction {
    /// Begins a row whose first message arrives now; [`Self::lasts`] counts that message.
    #[must_use]
    pub fn begin(now_ms: u64) -> Self {
        Self { since_ms: now_ms, messages: 0 }
    }

    /// Records a message; returns whether the row has lasted long enough to be believed.
    pub fn lasts(&mut self, now_ms: u64) -> bool {
        self.messages = self.messages.saturating_add(1);
        let time_ms = now_ms.saturating_sub(self.since_ms);
        self.messages >= MIN_MESSAGES && time_ms >= MIN_TIME_MS
    }
}

//! A set of the agents of one roster, with one bit per agent.

/// A set of positions in a roster.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct AgentSet {
    words: Vec<u64>,
}

const WORD_BITS: usize = u64::BITS as usize;

impl AgentSet {
    /// Creates a set of the first `count` positions.
    pub(super) fn first(count: usize) -> Self {
        let mut all = Self::default();
        (0..count).for_each(|index| all.insert(index));
        all
    }

    pub(super) fn insert(&mut self, index: usize) {
        let word = index / WORD_BITS;
        if self.words.len() <= word {
            self.words.resize(word + 1, 0);
        }
        self.words[word] |= 1 << (index % WORD_BITS);
    }

    pub(super) fn remove(&mut self, index: usize) {
        if let Some(word) = self.words.get_mut(index / WORD_BITS) {
            *word &= !(1 << (index % WORD_BITS));
        }
    }

    pub(super) fn contains(&self, index: usize) -> bool {
        let word = self.words.get(index / WORD_BITS).copied().unwrap_or(0);
        word >> (index % WORD_BITS) & 1 == 1
    }

    pub(super) fn is_empty(&self) -> bool {
        self.words.iter().all(|word| *word == 0)
    }

    pub(super) fn len(&self) -> usize {
        self.words.iter().map(|word| word.count_ones() as usize).sum()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = usize> {
        self.words.iter().enumerate().flat_map(|(place, word)| {
            (0..WORD_BITS)
                .filter(move |bit| word >> bit & 1 == 1)
                .map(move |bit| place * WORD_BITS + bit)
        })
    }
}

//! Final answers given for jobs of lost homes, bounded in bytes. Those dropped
//! are concluded anew from the agents.

use {
    parking_lot::Mutex,
    std::{
        collections::{HashMap, VecDeque},
        sync::Arc,
    },
    sycamorerail_wire::{
        answer::Answer,
        ids::{ContentHash, JobId},
    },
};

/// Most bytes of answers kept.
const MAX_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of an answer without its results, about.
const ANSWER_BYTES: usize = 512;

/// A final answer, and the submission that it is for, if one is known.
#[derive(Clone, Debug)]
pub(super) struct Final {
    pub(super) content: Option<ContentHash>,
    pub(super) answer: Arc<Answer>,
}

#[derive(Debug, Default)]
struct Kept {
    finals: HashMap<JobId, Final>,
    order: VecDeque<JobId>,
    bytes: usize,
}

/// Final answers by job.
#[derive(Debug, Default)]
pub(super) struct Concluded {
    kept: Mutex<Kept>,
}

impl Concluded {
    pub(super) fn get(&self, job: &JobId) -> Option<Final> {
        self.kept.lock().finals.get(job).cloned()
    }

    /// Keeps a final answer; the first one stays.
    pub(super) fn keep(&self, job: JobId, conclusion: Final) {
        let mut kept = self.kept.lock();
        if kept.finals.contains_key(&job) {
            return;
        }
        kept.bytes += size(&conclusion.answer);
        kept.order.push_back(job);
        kept.finals.insert(job, conclusion);
        while kept.bytes > MAX_BYTES {
            let Some(oldest) = kept.order.pop_front() else { return };
            kept.remove(&oldest);
        }
    }

    /// Forgets answers on ids minted before the time given.
    pub(super) fn forget_before(&self, minted_unix_ms: u64) {
        let mut kept = self.kept.lock();
        let old = |job: &JobId| job.minted_unix_ms < minted_unix_ms;
        let (gone, left): (Vec<_>, VecDeque<_>) = {
            let order = std::mem::take(&mut kept.order);
            let gone = order.iter().copied().filter(old).collect();
            (gone, order.into_iter().filter(|job| !old(job)).collect())
        };
        kept.order = left;
        gone.iter().for_each(|job| kept.remove(job));
    }
}

impl Kept {
    fn remove(&mut self, job: &JobId) {
        if let Some(conclusion) = self.finals.remove(job) {
            self.bytes -= size(&conclusion.answer);
        }
    }
}

fn size(answer: &Answer) -> usize {
    ANSWER_BYTES + answer.results.iter().map(|result| result.0.len()).sum::<usize>()
}

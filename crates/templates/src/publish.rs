//! Publishing: each change is one compare-and-swap of the organisation's key.
//!
//! A lost answer is resolved by reading the record back: the change id is in
//! it, or the record is as before and the same swap is sent again, which cannot
//! take effect twice as both compare the same platform revision, or another
//! change stands in its place, so that it never will.

use {
    crate::{
        change::{Accepted, Action, Base, Change, ChangeError, ChangeState, Winner},
        envelope::{self, Envelope, Fate},
        in_force::InForce,
        validate::validate,
    },
    std::time::{Duration, Instant},
    sycamorerail_platform::{
        Effect, Expected, KeyValue, Platform, PlatformError, PlatformErrorKind, PlatformStep, Swap,
    },
    sycamorerail_telemetry::event,
    sycamorerail_wire::message::ConfigMark,
    tokio::time::sleep,
    uuid::Uuid,
};

/// How long a change is tried before it is left undone or in doubt.
pub const SETTLE_MS: u32 = 3_000;

const RETRY_FIRST_MS: u64 = 25;
const RETRY_MOST_MS: u64 = 400;
const RETRY_AFTER_MS: u64 = 2_000;
const MAX_SWAPS: usize = 4;

/// Publishes changes through the platform.
#[derive(Clone, Debug)]
pub struct Publisher {
    platform: Platform,
    in_force: InForce,
    settle: Duration,
}

/// What one attempt came to.
enum Attempt {
    Ended(Result<Accepted, ChangeError>),
    Failed(PlatformError),
}

/// The record as an attempt finds it.
struct Current {
    item: Option<KeyValue>,
    envelope: Option<Envelope>,
}

impl Publisher {
    /// A publisher that tries each change for `settle_ms`.
    #[must_use]
    pub fn new(platform: Platform, in_force: InForce, settle_ms: u32) -> Self {
        Self { platform, in_force, settle: Duration::from_millis(settle_ms.into()) }
    }

    /// Makes a change. The same change id again returns the first's outcome.
    ///
    /// # Errors
    ///
    /// Why it is not known to have taken effect.
    pub async fn publish(&self, change: &Change) -> Result<Accepted, ChangeError> {
        let ended = self.validated(change).await;
        let result = ended.as_ref().err().map_or("accepted", ChangeError::name);
        let action = change.action.name();
        metrics::counter!("sycamorerail_template_changes_total", "action" => action, "result" => result)
            .increment(1);
        event!(
            Info,
            "template_change",
            organisation = change.organisation,
            action = action,
            change = change.stamp.change_id,
            by = change.stamp.published_by,
            result = result,
            revision = ended.as_ref().map_or(0, |accepted| accepted.revision)
        );
        ended
    }

    async fn validated(&self, change: &Change) -> Result<Accepted, ChangeError> {
        if let Action::Put(yaml) = &change.action {
            validate(&change.organisation, yaml).map_err(ChangeError::Invalid)?;
        }
        self.settle(change).await
    }

    /// Attempts the change until it has ended or the time is up.
    async fn settle(&self, change: &Change) -> Result<Accepted, ChangeError> {
        let begun = Instant::now();
        let mut sent_revision = None;
        let mut known = self.mirrored(change);
        let mut pause_ms = RETRY_FIRST_MS;
        loop {
            let error = match self.attempt(change, known.take(), &mut sent_revision).await {
                Attempt::Ended(ended) => return ended,
                Attempt::Failed(error) => error,
            };
            if begun.elapsed() + Duration::from_millis(pause_ms) >= self.settle {
                return Err(unsettled(change, sent_revision, error));
            }
            metrics::counter!("sycamorerail_template_retries_total", "reason" => error.kind.name())
                .increment(1);
            sleep(Duration::from_millis(pause_ms)).await;
            pause_ms = (pause_ms * 2).min(RETRY_MOST_MS);
        }
    }

    /// The mirror's record, where it is the one that the change expects. If it
    /// is old the swap loses and brings the present one.
    fn mirrored(&self, change: &Change) -> Option<Current> {
        let Base::Revision(revision) = change.base else {
            return None;
        };
        let item = self.in_force.mirror().get(&envelope::key(&change.organisation));
        Current::read(item).ok().filter(|known| known.revision() == revision)
    }

    async fn attempt(
        &self,
        change: &Change,
        known: Option<Current>,
        sent_revision: &mut Option<u64>,
    ) -> Attempt {
        let mut current = match known {
            Some(known) => known,
            None => match self.read(&change.organisation).await {
                Ok(Ok(current)) => current,
                Ok(Err(err)) => return Attempt::Ended(Err(err)),
                Err(err) => return Attempt::Failed(err),
            },
        };
        // A swap that lost brings the record that stands, by which the change
        // is judged anew.
        for _ in 0..MAX_SWAPS {
            self.note(&current);
            let next = match current.decide(change, *sent_revision) {
                Decision::Ended(ended) => return Attempt::Ended(ended),
                Decision::Swap(next) => next,
            };
            match self.swap(&current, change, &next).await {
                Ok(Swap::Done { mark }) => {
                    return Attempt::Ended(Ok(self.taken(&current, change, &next, mark)));
                }
                Ok(Swap::Lost { current: found }) => match Current::read(found) {
                    Ok(found) => current = found,
                    Err(err) => return Attempt::Ended(Err(err)),
                },
                Err(err) => {
                    if err.effect == Effect::Open {
                        *sent_revision = Some(next.revision);
                    }
                    return Attempt::Failed(err);
                }
            }
        }
        Attempt::Failed(self.never_fits())
    }

    /// The swap loses although the record is as it expects, time and again.
    fn never_fits(&self) -> PlatformError {
        PlatformError {
            step: PlatformStep::Swap,
            peer: self.platform.url().to_owned(),
            kind: PlatformErrorKind::Malformed("a swap lost against what it expects".to_owned()),
            effect: Effect::None,
        }
    }

    /// Puts a record in force here that was read from the platform.
    fn note(&self, current: &Current) {
        if let Some(item) = &current.item {
            self.in_force.take(item);
        }
    }

    async fn read(
        &self,
        organisation: &str,
    ) -> Result<Result<Current, ChangeError>, PlatformError> {
        let item = self.platform.get(&envelope::key(organisation)).await?;
        Ok(Current::read(item))
    }

    async fn swap(
        &self,
        current: &Current,
        change: &Change,
        next: &Envelope,
    ) -> Result<Swap, PlatformError> {
        let key = envelope::key(&change.organisation);
        self.platform.swap(&key, current.expected(), &next.encode(), None, &[]).await
    }

    /// Puts an own change in force here, ahead of the watch.
    fn taken(&self, current: &Current, change: &Change, next: &Envelope, mark: u64) -> Accepted {
        let created = current.item.as_ref().map_or(mark, |item| item.created);
        self.in_force.take(&KeyValue {
            key: envelope::key(&change.organisation),
            value: next.encode(),
            created,
            modified: mark,
            lease: 0,
        });
        accepted(change, next.revision, mark)
    }

    /// Tells where a change stands. `revision` is the one it makes if it takes
    /// effect, as an answer in doubt names it.
    ///
    /// # Errors
    ///
    /// When the platform does not answer, or the record cannot be read.
    pub async fn look_up(
        &self,
        organisation: &str,
        change_id: Uuid,
        revision: Option<u64>,
    ) -> Result<ChangeState, ChangeError> {
        let read = self.read(organisation).await;
        let not_run = |error| ChangeError::NotRun { error, retry_after_ms: RETRY_AFTER_MS };
        let current = read.map_err(not_run)??;
        Ok(current.state_of(organisation, change_id, revision))
    }
}

/// What an attempt is to do next.
enum Decision {
    Ended(Result<Accepted, ChangeError>),
    Swap(Envelope),
}

impl Current {
    fn read(item: Option<KeyValue>) -> Result<Self, ChangeError> {
        let envelope = item
            .as_ref()
            .map(|item| Envelope::decode(&item.value))
            .transpose()
            .map_err(ChangeError::Unreadable)?;
        Ok(Self { item, envelope })
    }

    fn revision(&self) -> u64 {
        self.envelope.as_ref().map_or(0, |envelope| envelope.revision)
    }

    fn modified(&self) -> u64 {
        self.item.as_ref().map_or(0, |item| item.modified)
    }

    fn expected(&self) -> Expected {
        self.item.as_ref().map_or(Expected::Absent, |item| Expected::Modified(item.modified))
    }

    fn winner(&self) -> Option<Winner> {
        self.envelope.as_ref().map(Winner::from)
    }

    /// Judges the change by the record. `sent_revision` tells that a swap to
    /// that revision was sent and its answer was lost.
    fn decide(&self, change: &Change, sent_revision: Option<u64>) -> Decision {
        if let Some(envelope) = &self.envelope {
            let revision = sent_revision.unwrap_or(u64::MAX);
            match envelope.fate(change.stamp.change_id, revision) {
                Fate::Taken(revision) => {
                    return Decision::Ended(Ok(accepted(change, revision, self.modified())));
                }
                Fate::NeverTaken => {
                    return Decision::Ended(Err(ChangeError::Conflict(self.winner())));
                }
                Fate::Forgotten => {
                    return Decision::Ended(Err(in_doubt(change, revision, None)));
                }
                Fate::Open => {}
            }
        }
        match self.next(change) {
            Ok(next) => Decision::Swap(next),
            Err(err) => Decision::Ended(Err(err)),
        }
    }

    /// The record after the change.
    fn next(&self, change: &Change) -> Result<Envelope, ChangeError> {
        let standing = self.envelope.as_ref();
        let lives = standing.is_some_and(|envelope| !envelope.deleted);
        let fits = match change.base {
            Base::Absent => !lives,
            Base::Revision(revision) => standing.is_some() && self.revision() == revision,
        };
        if !fits {
            return Err(ChangeError::Conflict(self.winner()));
        }
        let yaml = match &change.action {
            Action::Put(yaml) => Some(yaml.clone()),
            Action::Rollback(to) => Some(self.earlier(change, *to)?),
            Action::Delete if lives => None,
            Action::Delete => return Err(ChangeError::NoOrganisation),
        };
        Envelope::next(standing, change.stamp.clone(), yaml).map_err(ChangeError::TooLarge)
    }

    fn earlier(&self, change: &Change, to: u64) -> Result<String, ChangeError> {
        let yaml = self
            .envelope
            .as_ref()
            .and_then(|envelope| envelope.yaml_of(to))
            .ok_or(ChangeError::NoRevision(to))?;
        validate(&change.organisation, yaml).map_err(ChangeError::Invalid)?;
        Ok(yaml.to_owned())
    }

    fn state_of(&self, organisation: &str, change_id: Uuid, revision: Option<u64>) -> ChangeState {
        let Some(envelope) = &self.envelope else {
            return ChangeState::InDoubt;
        };
        match envelope.fate(change_id, revision.unwrap_or(0)) {
            Fate::Taken(revision) => {
                let stamp = envelope.stamp_of(revision).unwrap_or(&envelope.stamp).clone();
                let mark = ConfigMark(self.modified());
                let organisation = organisation.to_owned();
                ChangeState::Accepted(Accepted { organisation, revision, mark, stamp })
            }
            _ if revision.is_none() => ChangeState::Unknown,
            Fate::NeverTaken => ChangeState::NotRun,
            Fate::Open => ChangeState::InDoubt,
            Fate::Forgotten => ChangeState::Unknown,
        }
    }
}

fn accepted(change: &Change, revision: u64, mark: u64) -> Accepted {
    Accepted {
        organisation: change.organisation.clone(),
        revision,
        mark: ConfigMark(mark),
        stamp: change.stamp.clone(),
    }
}

fn unsettled(change: &Change, sent_revision: Option<u64>, error: PlatformError) -> ChangeError {
    match sent_revision {
        None => ChangeError::NotRun { error, retry_after_ms: RETRY_AFTER_MS },
        Some(revision) => in_doubt(change, revision, Some(error)),
    }
}

fn in_doubt(change: &Change, revision: u64, error: Option<PlatformError>) -> ChangeError {
    ChangeError::InDoubt {
        change_id: change.stamp.change_id,
        revision,
        error,
        retry_after_ms: RETRY_AFTER_MS,
    }
}

//! The life of an agent's upstream as the platform keeps it, for the agent's next run.
//!
//! Upstreams announce themselves about every 1.5 s. An agent that restarts while every
//! entry restarts too would have to wait for the next announcement; by the record it
//! asks the upstream at once. Nothing is believed by it: the upstream answers to no
//! other life than its own. It tells the highest fence of the agent's orders, too, which
//! late ones may still have.

use {
    sycamorerail_platform::{Expected, KeyValue, Platform, PlatformError, Swap, backoff::jittered},
    sycamorerail_telemetry::event,
    sycamorerail_wire::runs::{MAX_START_UNIX_MS, UpstreamInstance},
    tokio::{sync::watch, time::sleep},
};

/// Prefix of the records, followed by the agent's name.
const PREFIX: &str = "sycamorerail/lives/";
/// Pause between attempts to read: a sixth of the time between announcements, after
/// which the record is of no use.
const READ_PAUSE_MS: u64 = 250;
/// Pause between attempts to write, and to read once nobody waits for it.
const WRITE_PAUSE_MS: u64 = 2_000;

/// Keeps the record of one agent.
#[derive(Debug)]
pub struct LifeRecord {
    platform: Platform,
    key: String,
    /// What the platform holds, as far as it is known, with its revision.
    stored: Option<(String, u64)>,
}

impl LifeRecord {
    /// The record of the agent of this name.
    #[must_use]
    pub fn new(platform: Platform, agent: &str) -> Self {
        Self { platform, key: format!("{PREFIX}{agent}"), stored: None }
    }

    /// Reads what the run before this one wrote, then writes each life that becomes known.
    /// Runs until `lives` ends.
    pub async fn keep(
        mut self,
        mut lives: watch::Receiver<Option<UpstreamInstance>>,
        on_read: impl FnOnce(UpstreamInstance),
    ) {
        if let Some(life) = self.read(&lives).await {
            event!(Info, "life_recalled", life = life.id, leaving = life.leaving);
            on_read(life);
        }
        loop {
            let life = lives.borrow_and_update().clone();
            let is_written = match life {
                Some(life) => self.try_write(&life).await,
                None => true,
            };
            // Whatever was announced meanwhile is written, and not what it replaced.
            let changed = tokio::select! {
                changed = lives.changed() => changed,
                () = sleep(jittered(WRITE_PAUSE_MS)), if !is_written => Ok(()),
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// The recorded life; tries until the platform answers.
    async fn read(
        &mut self,
        lives: &watch::Receiver<Option<UpstreamInstance>>,
    ) -> Option<UpstreamInstance> {
        loop {
            match self.platform.get(&self.key).await {
                Ok(None) => return None,
                Ok(Some(item)) => return self.parse(item),
                Err(error) => event!(Info, "life_unread", key = self.key, error = error),
            }
            // Once the upstream has announced itself, only the fence is of use.
            let is_announced = lives.borrow().is_some();
            let pause_ms = if is_announced { WRITE_PAUSE_MS } else { READ_PAUSE_MS };
            sleep(jittered(pause_ms)).await;
        }
    }

    fn parse(&mut self, item: KeyValue) -> Option<UpstreamInstance> {
        let life = read(&item.value);
        if let Err(error) = &life {
            event!(Warn, "life_unreadable", key = self.key, error = error);
        }
        self.stored = Some((item.value, item.modified));
        life.ok()
    }

    /// Writes a life unless it is recorded; returns whether it is now.
    async fn try_write(&mut self, life: &UpstreamInstance) -> bool {
        let value = serde_json::to_string(life).expect("a plain struct with text keys");
        let is_stored = |stored: &Option<(String, u64)>| {
            stored.as_ref().is_some_and(|(stored, _)| *stored == value)
        };
        while !is_stored(&self.stored) {
            if let Err(error) = self.swap(&value).await {
                event!(Info, "life_not_written", key = self.key, error = error);
                return false;
            }
        }
        true
    }

    /// One attempt; where another value was found its revision is known for the next.
    async fn swap(&mut self, value: &str) -> Result<(), PlatformError> {
        let expected =
            self.stored.as_ref().map_or(Expected::Absent, |(_, rev)| Expected::Modified(*rev));
        let swapped = self.platform.swap(&self.key, expected, value, None, &[]).await?;
        self.stored = match swapped {
            Swap::Done { mark } => Some((value.to_owned(), mark)),
            Swap::Lost { current } => current.map(|item| (item.value, item.modified)),
        };
        Ok(())
    }
}

fn read(value: &str) -> Result<UpstreamInstance, String> {
    let life: UpstreamInstance = serde_json::from_str(value).map_err(|error| error.to_string())?;
    match life.id.started_unix_ms {
        // Fences of orders that are computed from it could not be exceeded again.
        Some(start) if start >= MAX_START_UNIX_MS => {
            Err(format!("started_unix_ms: {start} is not below {MAX_START_UNIX_MS}"))
        }
        _ => Ok(life),
    }
}

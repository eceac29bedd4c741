//! Publishing through whichever entry is in service, until the fate of the
//! change is known.

use {
    crate::{
        http::Reply,
        load::Load,
        operator::{Base, Change},
        plan::Organisation,
        wait::PATIENCE,
    },
    eyre::bail,
    serde_json::Value,
    std::time::{Duration, Instant},
    tokio::time::sleep,
    uuid::Uuid,
};

const PAUSE: Duration = Duration::from_millis(100);

/// How a change of a template ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Published {
    /// In force, as this revision.
    Accepted(u64),
    /// Another change was first.
    Conflict,
}

impl Organisation {
    /// Its template with another bound of tasks in flight, by which revisions
    /// are told apart.
    ///
    /// # Errors
    ///
    /// When the template cannot be read.
    pub fn with_max_in_flight(&self, max_in_flight: u32) -> eyre::Result<String> {
        let mut template: Value = serde_norway::from_str(&self.yaml)?;
        template["quota"]["max_in_flight"] = max_in_flight.into();
        Ok(serde_norway::to_string(&template)?)
    }
}

/// Publishes under one change id, again and again, until it is accepted or
/// another change is known to have been first.
///
/// # Errors
///
/// When that takes too long, or an entry refuses for another cause.
pub async fn publish(
    load: &Load,
    organisation: &Organisation,
    base: u64,
    yaml: &str,
) -> eyre::Result<Published> {
    let (operator, change_id, began) = (load.cluster.operator(), Uuid::now_v7(), Instant::now());
    let (name, base) = (&organisation.name, Base::Revision(base));
    let mut last = None;
    while began.elapsed() < PATIENCE {
        if let Some((_, entry)) = load.next_entry() {
            match operator.publish(entry, name, base, change_id, yaml).await {
                Reply::Told(Change::Accepted { revision }) => {
                    return Ok(Published::Accepted(revision));
                }
                Reply::Told(Change::Conflict { .. }) => return Ok(Published::Conflict),
                Reply::Told(Change::Refused { status, body }) if status < 500 => {
                    bail!("{name}: {status}: {body}")
                }
                other => last = Some(other),
            }
        }
        sleep(PAUSE).await;
    }
    bail!("{name}: the fate of {change_id} stays open: {last:?}")
}

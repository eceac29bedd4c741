//! Operators who publish through whichever entry is in service, until the fate
//! of each change is known, and who race each other.

use {
    crate::{
        http::Reply,
        load::Load,
        operator::{Base, Change},
        plan::Organisation,
        wait::PATIENCE,
    },
    eyre::{OptionExt, bail, ensure},
    serde_json::Value,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    sycamorerail_bench::cluster::Role,
    tokio::{task::JoinSet, time::sleep},
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

/// Operators who publish revisions of one organisation against each other.
#[derive(Debug)]
pub struct Operators {
    load: Arc<Load>,
    organisation: usize,
    stop: Arc<AtomicBool>,
    running: JoinSet<eyre::Result<Vec<u64>>>,
}

/// What one operator goes by.
struct Rival {
    load: Arc<Load>,
    organisation: usize,
    number: u32,
    pause: Duration,
    stop: Arc<AtomicBool>,
    highest: Arc<AtomicU64>,
}

impl Operators {
    /// Starts operators on revision 1; each pauses between two changes.
    #[must_use]
    pub fn start(load: &Arc<Load>, organisation: usize, count: u32, pause: Duration) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let highest = Arc::new(AtomicU64::new(1));
        let mut running = JoinSet::new();
        for number in 0..count {
            let (load, stop) = (Arc::clone(load), Arc::clone(&stop));
            let highest = Arc::clone(&highest);
            let rival = Rival { load, organisation, number, pause, stop, highest };
            running.spawn(rival.publish_on());
        }
        Self { load: Arc::clone(load), organisation, stop, running }
    }

    /// Stops them; returns the number of changes accepted.
    ///
    /// # Errors
    ///
    /// When a revision was accepted twice or left out, or an entry does not get
    /// the last one.
    pub async fn stop(self) -> eyre::Result<usize> {
        self.stop.store(true, Ordering::Release);
        let mut accepted = vec![1];
        for revisions in self.running.join_all().await {
            accepted.extend(revisions?);
        }
        accepted.sort_unstable();
        let consecutive = accepted.windows(2).all(|pair| pair[1] == pair[0] + 1);
        ensure!(consecutive, "accepted revisions: {accepted:?}");
        let last = *accepted.last().ok_or_eyre("no revision")?;
        let cluster = &self.load.cluster;
        let name = &cluster.organisations()[self.organisation].name;
        for entry in cluster.running(Role::Entry) {
            let revision = cluster.wait_in_force(&entry, name, last).await?;
            ensure!(revision == last, "{entry} has {revision} of {name}, accepted was {last}");
        }
        Ok(accepted.len() - 1)
    }
}

impl Rival {
    async fn publish_on(self) -> eyre::Result<Vec<u64>> {
        let organisation = &self.load.cluster.organisations()[self.organisation];
        let mut accepted = Vec::new();
        while !self.stop.load(Ordering::Acquire) {
            let base = self.highest.load(Ordering::Acquire);
            // A bound of its own in each revision, always far above the load.
            let bound = 100_000 + 100 * base as u32 + self.number;
            let yaml = organisation.with_max_in_flight(bound)?;
            let published = publish(&self.load, organisation, base, &yaml).await?;
            if let Published::Accepted(revision) = published {
                ensure!(revision == base + 1, "revision {revision} accepted on {base}");
                accepted.push(revision);
                self.highest.fetch_max(revision, Ordering::AcqRel);
            }
            sleep(self.pause).await;
        }
        Ok(accepted)
    }
}

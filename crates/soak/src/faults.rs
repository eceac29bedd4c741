//! Faults drawn from a seed, one after the other in each of several lanes, so
//! that as many of them come at a time.

use {
    crate::{
        cluster::Cluster, links::Direction, load::Load, random_callers::Signals, standins::order,
    },
    eyre::ensure,
    parking_lot::Mutex,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    sycamorerail_bench::cluster::Role,
    sycamorerail_standin::{
        faults::FaultOrder, platform::PlatformFaults, upstream::UpstreamFaults,
    },
    tokio::time::sleep,
};

/// Pause between two faults of a lane.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 200..=1_500;
/// How long a process is away or a stand-in misbehaves.
const SHORT_MS: std::ops::RangeInclusive<u64> = 50..=1_000;
const LONG_MS: std::ops::RangeInclusive<u64> = 1_000..=6_000;
/// Pause between reads of an upstream that is about to end.
const READ_PERIOD: Duration = Duration::from_millis(100);

/// What fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// SIGKILL of an entry, which starts again.
    KillEntry,
    /// SIGSTOP of an entry, for less or more than others wait for it.
    FreezeEntry,
    /// Planned stop of an entry, which starts again.
    StopEntry,
    /// Planned stop of an entry once another one has taken its place.
    ReplaceEntry,
    /// An entry is cut off from all others, both ways or one way.
    CutEntry,
    /// An entry is cut off from one other process, both ways or one way.
    CutPair,
    /// SIGKILL of an agent, which starts again.
    KillAgent,
    /// SIGSTOP of an agent.
    FreezeAgent,
    /// Planned stop of an agent, which starts again.
    StopAgent,
    /// An upstream stands still.
    FreezeUpstream,
    /// An upstream fails every task.
    FailEverything,
    /// An upstream drops connections after the start.
    DropConnections,
    /// Some tasks of an upstream run ten times as long.
    Stragglers,
    /// An upstream leaves, and another one comes at its place.
    LeaveUpstream,
    /// The platform answers nothing.
    PlatformHangs,
    /// The platform refuses connections.
    PlatformRefuses,
    /// The platform stands still: calls run once it goes on.
    PlatformFreezes,
    /// The platform answers late.
    PlatformSlow,
    /// The platform loses answers after changes took effect.
    PlatformLosesAnswers,
    /// Many callers cancel at once.
    CancelWave,
}

/// All faults, each as often as its number says.
const WEIGHTS: &[(Fault, u32)] = &[
    (Fault::KillEntry, 3),
    (Fault::FreezeEntry, 3),
    (Fault::StopEntry, 2),
    (Fault::ReplaceEntry, 2),
    (Fault::CutEntry, 3),
    (Fault::CutPair, 4),
    (Fault::KillAgent, 3),
    (Fault::FreezeAgent, 3),
    (Fault::StopAgent, 3),
    (Fault::FreezeUpstream, 2),
    (Fault::FailEverything, 2),
    (Fault::DropConnections, 2),
    (Fault::Stragglers, 2),
    (Fault::LeaveUpstream, 2),
    (Fault::PlatformHangs, 2),
    (Fault::PlatformRefuses, 1),
    (Fault::PlatformFreezes, 1),
    (Fault::PlatformSlow, 1),
    (Fault::PlatformLosesAnswers, 2),
    (Fault::CancelWave, 2),
];

/// A process killed, for which broken connections are no fault of a planned stop.
#[derive(Clone, Debug)]
pub struct Killed {
    /// Its name.
    pub name: String,
    /// Before the signal.
    pub began: Instant,
    /// When it was gone.
    pub ended: Instant,
}

/// Brings faults about.
#[derive(Debug)]
pub struct Faults {
    load: Arc<Load>,
    signals: Signals,
    until: Instant,
    /// Processes that a fault is about.
    taken: Mutex<BTreeSet<String>>,
    counts: Mutex<BTreeMap<Fault, u64>>,
    killed: Mutex<Vec<Killed>>,
}

/// Processes taken for one fault; free again when dropped.
struct Taken<'a> {
    faults: &'a Faults,
    name: String,
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.faults.taken.lock().remove(&self.name);
    }
}

impl Faults {
    /// Faults for a while.
    #[must_use]
    pub fn new(load: Arc<Load>, signals: Signals, length: Duration) -> Self {
        Self {
            load,
            signals,
            until: Instant::now() + length,
            taken: Mutex::default(),
            counts: Mutex::default(),
            killed: Mutex::default(),
        }
    }

    /// Faults by kind so far.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<Fault, u64> {
        self.counts.lock().clone()
    }

    /// Processes killed so far.
    #[must_use]
    pub fn killed(&self) -> Vec<Killed> {
        self.killed.lock().clone()
    }

    /// Brings about one fault after the other. Every process is back, and no
    /// stand-in misbehaves, on return.
    ///
    /// # Errors
    ///
    /// When a process does not come back, or ends otherwise than told.
    pub async fn lane(&self, seed: u64, lane: u16) -> eyre::Result<()> {
        let mut random = SmallRng::seed_from_u64(seed ^ (u64::from(lane) << 48) ^ 1);
        while Instant::now() < self.until {
            sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
            let weighted = WEIGHTS.choose_weighted(&mut random, |(_, weight)| *weight);
            let Ok((fault, _)) = weighted else { continue };
            if self.bring_about(*fault, &mut random).await? {
                *self.counts.lock().entry(*fault).or_default() += 1;
            }
        }
        Ok(())
    }

    /// Returns whether there was a process for it.
    async fn bring_about(&self, fault: Fault, random: &mut SmallRng) -> eyre::Result<bool> {
        if fault == Fault::CancelWave {
            self.signals.waves.send_modify(|waves| *waves += 1);
            return Ok(true);
        }
        let Some(target) = self.take(role_of(fault), random) else { return Ok(false) };
        let (short, long) = (random.random_range(SHORT_MS), random.random_range(LONG_MS));
        let any = if random.random_bool(0.5) { short } else { long };
        let (any, long) = (Duration::from_millis(any), Duration::from_millis(long));
        let name = &target.name;
        match fault {
            Fault::KillEntry | Fault::KillAgent => self.kill(name, any).await?,
            Fault::FreezeEntry | Fault::FreezeAgent => self.freeze(name, any).await?,
            Fault::StopEntry | Fault::StopAgent => self.restart(name, any).await?,
            Fault::ReplaceEntry => self.replace_entry(name).await?,
            Fault::CutEntry => self.cut(name, None, draw_direction(random), any).await,
            Fault::CutPair => {
                let other = self.other_of(name, random);
                self.cut(name, other.as_deref(), draw_direction(random), any).await;
            }
            Fault::LeaveUpstream => self.leave(name, any).await?,
            Fault::PlatformRefuses => {
                let for_ms = Some(long.as_millis() as u32);
                let order =
                    FaultOrder::<PlatformFaults> { refuse: true, for_ms, ..FaultOrder::default() };
                self.misbehave(name, order, long + READ_PERIOD).await?;
            }
            fault => match platform_faults(fault) {
                Some(faults) => self.misbehave(name, order_of(faults), long).await?,
                None => self.misbehave(name, order_of(upstream_faults(fault)), long).await?,
            },
        }
        Ok(true)
    }

    /// Takes a process of the role, at random among those that are well. Of
    /// entries and agents one stays out of all faults.
    fn take(&self, role: Role, random: &mut SmallRng) -> Option<Taken<'_>> {
        let mut taken = self.taken.lock();
        let running = self.load.cluster.running(role);
        let well: Vec<_> = running.into_iter().filter(|name| !taken.contains(name)).collect();
        let spared = usize::from(role != Role::Platform);
        let name = (well.len() > spared).then(|| well.choose(random)).flatten()?.clone();
        taken.insert(name.clone());
        Some(Taken { faults: self, name })
    }

    /// An agent or another entry, at random.
    fn other_of(&self, entry: &str, random: &mut SmallRng) -> Option<String> {
        let mut others = self.cluster().running(Role::Agent);
        others.extend(self.cluster().running(Role::Entry));
        others.retain(|other| other != entry);
        others.choose(random).cloned()
    }

    async fn cut(&self, entry: &str, other: Option<&str>, way: Direction, length: Duration) {
        self.cluster().links().cut(entry, other, way);
        sleep(length).await;
        self.cluster().links().heal(entry);
    }

    async fn kill(&self, name: &str, away: Duration) -> eyre::Result<()> {
        let began = Instant::now();
        self.cluster().kill(name)?;
        let (name_of_killed, ended) = (name.to_owned(), Instant::now());
        self.killed.lock().push(Killed { name: name_of_killed, began, ended });
        sleep(away).await;
        self.start(name).await
    }

    async fn freeze(&self, name: &str, length: Duration) -> eyre::Result<()> {
        self.cluster().freeze(name)?;
        sleep(length).await;
        self.cluster().thaw(name)?;
        self.cluster().wait_live(name).await
    }

    async fn restart(&self, name: &str, away: Duration) -> eyre::Result<()> {
        self.stop(name).await?;
        sleep(away).await;
        self.start(name).await
    }

    /// Starts an entry that is not running and stops this one.
    async fn replace_entry(&self, name: &str) -> eyre::Result<()> {
        let other = self.cluster().idle(Role::Entry).into_iter().find(|other| {
            let mut taken = self.taken.lock();
            taken.insert(other.clone())
        });
        let Some(other) = other else { return Ok(()) };
        let _other = Taken { faults: self, name: other.clone() };
        self.start(&other).await?;
        self.stop(name).await
    }

    async fn stop(&self, name: &str) -> eyre::Result<()> {
        self.cluster().stop(name)?;
        let ended = self.cluster().wait_end(name).await?;
        ensure!(ended.as_told(), "{name}, told to stop, ended with {}", ended.status);
        Ok(())
    }

    /// An upstream leaves as planned, and starts again.
    async fn leave(&self, name: &str, away: Duration) -> eyre::Result<()> {
        self.cluster().stop(name)?;
        // It serves a while after its last task, so the last read has all.
        while self.cluster().is_running(name)? {
            let _ = self.load.starts.lock().await.read(self.cluster(), name).await;
            sleep(READ_PERIOD).await;
        }
        self.load.starts.lock().await.stopped(name);
        sleep(away).await;
        self.cluster().run(name)?;
        self.cluster().wait_live(name).await
    }

    async fn misbehave<F>(
        &self,
        name: &str,
        faults: FaultOrder<F>,
        length: Duration,
    ) -> eyre::Result<()>
    where
        F: Serialize + DeserializeOwned + PartialEq + Default,
    {
        order(self.cluster(), name, &faults).await?;
        sleep(length).await;
        self.cluster().wait_live(name).await?;
        order(self.cluster(), name, &FaultOrder::<F>::default()).await
    }

    async fn start(&self, name: &str) -> eyre::Result<()> {
        self.cluster().run(name)?;
        self.cluster().wait_live(name).await
    }

    fn cluster(&self) -> &Cluster {
        &self.load.cluster
    }
}

fn draw_direction(random: &mut SmallRng) -> Direction {
    let all = [Direction::Both, Direction::ToEntry, Direction::FromEntry];
    all.choose(random).copied().unwrap_or(Direction::Both)
}

fn order_of<F>(faults: F) -> FaultOrder<F> {
    FaultOrder { faults, refuse: false, for_ms: None }
}

fn role_of(fault: Fault) -> Role {
    match fault {
        Fault::KillEntry
        | Fault::FreezeEntry
        | Fault::StopEntry
        | Fault::ReplaceEntry
        | Fault::CutEntry
        | Fault::CutPair => Role::Entry,
        Fault::KillAgent | Fault::FreezeAgent | Fault::StopAgent => Role::Agent,
        Fault::FreezeUpstream
        | Fault::FailEverything
        | Fault::DropConnections
        | Fault::Stragglers
        | Fault::LeaveUpstream => Role::Upstream,
        _ => Role::Platform,
    }
}

fn platform_faults(fault: Fault) -> Option<PlatformFaults> {
    let well = PlatformFaults::default();
    match fault {
        Fault::PlatformHangs => Some(PlatformFaults { hang: true, ..well }),
        Fault::PlatformFreezes => Some(PlatformFaults { freeze: true, ..well }),
        Fault::PlatformSlow => Some(PlatformFaults { delay_ms: Some(300), jitter_ms: 400, ..well }),
        Fault::PlatformLosesAnswers => Some(PlatformFaults { lose_answers: 0.4, ..well }),
        _ => None,
    }
}

fn upstream_faults(fault: Fault) -> UpstreamFaults {
    let well = UpstreamFaults::default();
    match fault {
        Fault::FreezeUpstream => UpstreamFaults { freeze: true, ..well },
        Fault::FailEverything => UpstreamFaults { fail_everything: true, ..well },
        Fault::DropConnections => UpstreamFaults { drop_share: 0.4, ..well },
        Fault::Stragglers => {
            UpstreamFaults { straggler_share: 0.3, straggler_factor: 10.0, ..well }
        }
        _ => well,
    }
}

//! Links of an agent to an entry that it forgets and hears of again: there is one at a time.

use {
    futures::future::{BoxFuture, FutureExt, pending, ready},
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    sycamorerail_agent::leased::{
        CallError, FencedTarget, LeaseRenewal, LeasedAgent, LeasedAgentSettings, UpstreamClient,
    },
    sycamorerail_clock::Clock,
    sycamorerail_decide::{
        ledger::{LeaseAnswer, LedgerLimits, StartAnswer, StartOrder},
        links::LinkLimits,
    },
    sycamorerail_wire::{
        frames,
        ids::Incarnation,
        runs::{EntryAddress, FromRunsAgent, Resources, RunsFirstMessage, TaskKey, ToRunsAgent},
    },
    tokio::{
        net::TcpListener,
        sync::Notify,
        time::{sleep, timeout},
    },
};

const LOCAL: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Far longer than any step takes, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than an agent remembers an entry that nobody lists.
const FORGET_MS: u64 = 31_000;
const HEARTBEAT: Duration = Duration::from_millis(100);
/// Several redials of a link.
const SETTLE: Duration = Duration::from_millis(1_500);

/// An upstream that is never reached.
#[derive(Debug)]
struct NoUpstream;

impl UpstreamClient for NoUpstream {
    fn start_run(&self, _: FencedTarget, _: StartOrder) -> BoxFuture<'_, StartAnswer> {
        ready(StartAnswer::Unanswered).boxed()
    }

    fn stop_run(
        &self,
        _: FencedTarget,
        _: TaskKey,
        _: u32,
    ) -> BoxFuture<'_, Result<(), CallError>> {
        ready(Ok(())).boxed()
    }

    fn renew_lease(
        &self,
        _: FencedTarget,
        _: LeaseRenewal,
    ) -> BoxFuture<'_, Result<LeaseAnswer, CallError>> {
        pending().boxed()
    }
}

/// An entry that acknowledges all messages, once it answers.
struct Entry {
    incarnation: Incarnation,
    address: SocketAddr,
    answers: AtomicBool,
    members: Mutex<Vec<EntryAddress>>,
    /// A hello was read.
    greeted: Notify,
    /// Connections that were welcomed and have not ended.
    open: AtomicUsize,
}

impl Entry {
    async fn start(incarnation: u64, answers: bool) -> Arc<Self> {
        let listener = TcpListener::bind(SocketAddr::from(LOCAL)).await.unwrap();
        let entry = Arc::new(Self {
            incarnation: Incarnation(incarnation),
            address: listener.local_addr().unwrap(),
            answers: AtomicBool::new(answers),
            members: Mutex::default(),
            greeted: Notify::new(),
            open: AtomicUsize::new(0),
        });
        let accepting = Arc::clone(&entry);
        tokio::spawn(async move {
            while let Ok((stream, peer)) = listener.accept().await {
                tokio::spawn(Arc::clone(&accepting).serve(frames::split(stream, peer)));
            }
        });
        entry
    }

    fn listed(&self) -> EntryAddress {
        EntryAddress { address: self.address, data_centre: "hall".to_owned() }
    }

    async fn serve(
        self: Arc<Self>,
        (mut reader, mut writer): (frames::FrameReader, frames::FrameWriter),
    ) {
        let Ok(RunsFirstMessage::Agent(_)) = reader.next().await else { return };
        self.greeted.notify_one();
        if !self.answers.load(Ordering::Acquire) {
            // The agent gives the connection up.
            while reader.next::<FromRunsAgent>().await.is_ok() {}
            return;
        }
        let welcome = ToRunsAgent::Welcome { entry: self.incarnation, upstream: None };
        writer.push(&welcome).unwrap();
        self.open.fetch_add(1, Ordering::AcqRel);
        let heard = AtomicU64::new(1);
        let read = async {
            while reader.next::<FromRunsAgent>().await.is_ok() {
                heard.fetch_add(1, Ordering::AcqRel);
            }
        };
        let write = async {
            while writer.flush().await.is_ok() {
                sleep(HEARTBEAT).await;
                let heartbeat = ToRunsAgent::Heartbeat {
                    heard: heard.load(Ordering::Acquire),
                    confirmed: 0,
                    agents: 1,
                    largest: Resources::default(),
                };
                writer.push(&ToRunsAgent::Members(self.members.lock().clone())).unwrap();
                writer.push(&heartbeat).unwrap();
            }
        };
        tokio::select! { () = read => {}, () = write => {} }
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Guards against two runs of a task: an agent that keeps two connections to an entry starts what
/// comes over the one while its hello on the other one lacks it.
#[tokio::test]
async fn an_entry_that_is_forgotten_and_listed_again_gets_one_link() {
    let leaps_ms: &'static AtomicU64 = Box::leak(Box::default());
    let seed = Entry::start(1, true).await;
    let other = Entry::start(2, false).await;
    *seed.members.lock() = vec![seed.listed(), other.listed()];
    let settings = LeasedAgentSettings {
        name: "agent".to_owned(),
        data_centre: "hall".to_owned(),
        seeds: vec![seed.address],
        limits: LedgerLimits::default(),
        links: LinkLimits::default(),
    };
    let clock = Clock::start_with_test_suspension(leaps_ms);
    let agent = LeasedAgent::start_with_clock(settings, Box::new(NoUpstream), clock);
    timeout(TEST_TIMEOUT, other.greeted.notified()).await.unwrap();
    // The link to the seed ends, so that nobody lists the other entry until the next one is made.
    leaps_ms.store(FORGET_MS, Ordering::Release);
    other.answers.store(true, Ordering::Release);
    let both_linked = async {
        while agent.connected_entries() < 2 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, both_linked).await.unwrap();
    sleep(SETTLE).await;
    assert_eq!(other.open.load(Ordering::Acquire), 1, "links to the other entry");
}

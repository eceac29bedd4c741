//! Claims over a connection that a later one of the same claimant has overtaken.

use {
    std::{net::SocketAddr, sync::Arc, time::Duration},
    sycamorerail_decide::dispatch::DispatchLimits,
    sycamorerail_entry::runs::{JobService, JobServiceSettings},
    sycamorerail_wire::{
        frames::{self, FrameReader, FrameWriter},
        ids::Incarnation,
        runs::{
            CallerJobId, ClaimAnswer, ClaimAnswers, ClaimRequests, ClaimStanding, ClaimantHello,
            JobClaim, RunsFirstMessage,
        },
    },
    tokio::net::TcpListener,
};

const LOCAL: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Far longer than any step takes, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const FIRST: Incarnation = Incarnation(1);
const SECOND: Incarnation = Incarnation(2);
const JOB: CallerJobId = CallerJobId(7);
/// An entry that knows of no other one is the only voter of this list.
const VOTERS_NUMBER: u64 = 1;

/// A connection of a claimant to the holder.
struct Claimant {
    reader: FrameReader,
    writer: FrameWriter,
}

impl Claimant {
    async fn connect(holder: SocketAddr, incarnation: Incarnation, connection: u64) -> Self {
        let (reader, mut writer) = frames::connect(holder, TEST_TIMEOUT).await.unwrap();
        let hello = ClaimantHello { incarnation, entry: holder, connection, sent_unix_ms: 0 };
        writer.push(&RunsFirstMessage::Claimant(hello)).unwrap();
        Self { reader, writer }
    }

    /// Sends claims, and returns the answers.
    async fn claim(&mut self, claims: Vec<JobClaim>) -> Vec<ClaimAnswer> {
        let voters_number = VOTERS_NUMBER;
        let is_current = true;
        let requests =
            ClaimRequests { claims, is_current, voters_number, ..ClaimRequests::default() };
        self.writer.push(&requests).unwrap();
        self.writer.flush().await.unwrap();
        let answers: ClaimAnswers = self.reader.next().await.unwrap();
        answers.answers.into_iter().map(|answered| answered.answer).collect()
    }
}

async fn holder() -> (Arc<JobService>, SocketAddr) {
    let listener = TcpListener::bind(SocketAddr::from(LOCAL)).await.unwrap();
    let own = listener.local_addr().unwrap();
    let settings = JobServiceSettings {
        name: "holder".to_owned(),
        limits: DispatchLimits::default(),
        own,
        data_centre: "hall".to_owned(),
    };
    (JobService::start(settings, listener), own)
}

fn claim() -> Vec<JobClaim> {
    vec![JobClaim { job: JOB, number: 1, for_ms: 60_000, standing: ClaimStanding::New }]
}

/// Guards against a copy that is refused for the sake of a claim that was given up while a cut held
/// it up: its claimant, which is connected anew, never takes it back.
#[tokio::test]
async fn a_claim_that_comes_over_an_overtaken_connection_blocks_no_copy() {
    let (_service, address) = holder().await;
    let mut present = Claimant::connect(address, FIRST, 2).await;
    assert_eq!(present.claim(Vec::new()).await, []);
    let mut overtaken = Claimant::connect(address, FIRST, 1).await;
    overtaken.claim(claim()).await;
    drop(overtaken);
    assert_eq!(present.claim(Vec::new()).await, []);
    let mut other = Claimant::connect(address, SECOND, 1).await;
    assert_eq!(other.claim(claim()).await, [ClaimAnswer::Granted]);
}

/// The same where the present connection has ended by then.
#[tokio::test]
async fn a_claim_over_an_overtaken_connection_blocks_no_copy_after_the_end_of_the_present_one() {
    let (_service, address) = holder().await;
    let mut present = Claimant::connect(address, FIRST, 2).await;
    assert_eq!(present.claim(Vec::new()).await, []);
    drop(present);
    let mut overtaken = Claimant::connect(address, FIRST, 1).await;
    // Its answers are the last sign of the end of the connection before.
    overtaken.claim(Vec::new()).await;
    overtaken.claim(claim()).await;
    let mut other = Claimant::connect(address, SECOND, 1).await;
    assert_eq!(other.claim(claim()).await, [ClaimAnswer::Granted]);
}

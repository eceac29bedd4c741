//! A holder of claims, and connections of claimants to it.

use {
    std::{net::SocketAddr, sync::Arc, time::Duration},
    sycamorerail_decide::dispatch::DispatchLimits,
    sycamorerail_entry::runs::{JobService, JobServiceSettings},
    sycamorerail_wire::{
        frames::{self, FrameReader, FrameWriter},
        ids::Incarnation,
        runs::{ClaimAnswers, ClaimRequests, ClaimantHello, JobClaim, RunsFirstMessage},
    },
    tokio::net::TcpListener,
};

const LOCAL: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
/// Far longer than any step takes, even on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// An entry that knows of no other one is the only voter of this list.
pub const VOTERS_NUMBER: u64 = 1;

/// A connection of a claimant to the holder.
pub struct Claimant {
    reader: FrameReader,
    writer: FrameWriter,
}

impl Claimant {
    pub async fn connect(holder: SocketAddr, incarnation: Incarnation, connection: u64) -> Self {
        let (reader, mut writer) = frames::connect(holder, TEST_TIMEOUT).await.unwrap();
        let hello = ClaimantHello { incarnation, entry: holder, connection, sent_unix_ms: 0 };
        writer.push(&RunsFirstMessage::Claimant(hello)).unwrap();
        Self { reader, writer }
    }

    /// Sends claims, and returns what is answered.
    pub async fn claim(&mut self, claims: Vec<JobClaim>) -> ClaimAnswers {
        let voters_number = VOTERS_NUMBER;
        let is_current = true;
        let requests =
            ClaimRequests { claims, is_current, voters_number, ..ClaimRequests::default() };
        self.writer.push(&requests).unwrap();
        self.writer.flush().await.unwrap();
        self.reader.next().await.unwrap()
    }
}

pub async fn holder() -> (Arc<JobService>, SocketAddr) {
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

//! Waits for a home's reply while making sure that the home is still there.

use {
    super::{
        Inner,
        sessions::{self, Session},
    },
    crate::{
        counters::{self, Message},
        shared::Shared,
    },
    std::{sync::atomic::Ordering, time::Duration},
    sycamorerail_wire::{
        answer::Reason,
        ids::JobId,
        message::{EntryReply, ToEntry},
        session::SessionError,
    },
};

/// Longest wait for an answer; homes answer by the deadline of the kind.
const LONGEST: Duration = Duration::from_secs(600);

impl Inner {
    /// Calls the home of a job.
    pub(super) async fn call_home(
        &self,
        shared: &Shared,
        id: &JobId,
        call: &ToEntry,
    ) -> Result<EntryReply, SessionError> {
        let session = self.sessions.session(shared, id.home).await?;
        counters::message(Message::Forward, Reason::Done);
        tokio::select! {
            reply = session.call(shared, call, LONGEST) => reply,
            err = until_silent(shared, &session) => Err(err),
        }
    }
}

/// Probes a silent session, one probe at a time for all who wait on it, and
/// closes it for all if that isn't answered.
async fn until_silent(shared: &Shared, session: &Session) -> SessionError {
    let within = sessions::short(shared);
    loop {
        tokio::time::sleep(within).await;
        let heard_at_ms = session.heard_at_ms.load(Ordering::Acquire);
        let silent_ms = u128::from(shared.now_ms().saturating_sub(heard_at_ms));
        if silent_ms < within.as_millis() || session.probing.swap(true, Ordering::AcqRel) {
            continue;
        }
        counters::message(Message::Probe, Reason::Running);
        let probed = session.call(shared, &ToEntry::Status, within).await;
        session.probing.store(false, Ordering::Release);
        if let Err(err) = probed {
            session.connection.close(0u32.into(), b"silent");
            return err;
        }
    }
}

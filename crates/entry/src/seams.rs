//! Where other parts of the entry come in: closures with plain defaults.
//!
//! `peers` replaces [`Seams::forward`], [`Seams::on_entry_connection`] and
//! [`Seams::on_fenced`], `cluster` [`Seams::on_config_mark`] and
//! [`Seams::mount`]; see `Entry::start_with`.

use {
    crate::{callers::Binder, shared::Shared},
    futures::future::BoxFuture,
    rocket::{Build, Rocket},
    std::{fmt, sync::Arc},
    sycamorerail_wire::{
        answer::{Answer, Outcome, Reason, Step},
        ids::{Incarnation, JobId},
        message::{AgentIdentity, ConfigMark, ToEntry},
    },
};

/// Hands a call on a job to its home, which is not this run.
pub type Forward = dyn Fn(Arc<Shared>, JobId, ToEntry) -> BoxFuture<'static, Answer> + Send + Sync;

/// Serves a connection that another entry opened.
pub type OnEntryConnection = dyn Fn(Arc<Shared>, quinn::Connection) + Send + Sync;

/// Tells which run of this entry may use the agent, `None` if that is not for
/// the hello to say. Called at each hello; else `Registry::change_usable` says.
pub type UsableBy = dyn Fn(&Shared, &AgentIdentity) -> Option<Incarnation> + Send + Sync;

/// This run of the entry was found to be fenced.
pub type OnFenced = dyn Fn(&Arc<Shared>, Incarnation) + Send + Sync;

/// A higher configuration mark than the own one was seen.
pub type OnConfigMark = dyn Fn(&Shared, ConfigMark) + Send + Sync;

/// Adds routes to the HTTP server.
pub type Mount = dyn Fn(Rocket<Build>) -> Rocket<Build> + Send + Sync;

/// All seams.
///
/// [`Seams::binder`] is the platform's part in callers' own keys.
pub struct Seams {
    /// See [`Forward`].
    pub forward: Box<Forward>,
    /// See [`OnEntryConnection`].
    pub on_entry_connection: Box<OnEntryConnection>,
    /// See [`UsableBy`].
    pub usable_by: Box<UsableBy>,
    /// See [`OnFenced`].
    pub on_fenced: Box<OnFenced>,
    /// Binds callers' own keys; without it they are put off.
    pub binder: Option<Binder>,
    /// See [`OnConfigMark`].
    pub on_config_mark: Box<OnConfigMark>,
    /// See [`Mount`].
    pub mount: Box<Mount>,
}

impl fmt::Debug for Seams {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Seams")
    }
}

impl Default for Seams {
    /// An entry on its own: every agent is usable at its hello, other homes
    /// cannot be reached, a fenced run is retired.
    fn default() -> Self {
        Self {
            forward: Box::new(|_, id, _| Box::pin(async move { home_unreachable(id) })),
            on_entry_connection: Box::new(|_, connection| connection.close(0u32.into(), b"")),
            usable_by: Box::new(|shared, _| Some(shared.incarnation())),
            on_fenced: Box::new(|shared, incarnation| shared.retire(incarnation)),
            on_config_mark: Box::new(|_, _| {}),
            binder: None,
            mount: Box::new(|rocket| rocket),
        }
    }
}

const UNREACHABLE_RETRY_MS: u64 = 1_000;

fn home_unreachable(id: JobId) -> Answer {
    Answer::without_results(Outcome::InDoubt, Reason::HomeUnreachable, Step::Forward)
        .at_peer(id.home.to_string())
        .retry_after_ms(UNREACHABLE_RETRY_MS)
}

//! The revisions in force, by entry.

use {
    super::{
        Admin,
        operator::Operator,
        reply::{Problem, Reply},
    },
    crate::shared::Shared,
    rocket::{State, get},
    serde::Serialize,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
    sycamorerail_wire::{message::EntryStatus, session::SessionError},
};

/// All entries known.
#[derive(Debug, Serialize)]
pub(super) struct Rollout {
    /// Those that answered, this one first.
    pub(super) entries: Vec<EntryLine>,
    /// Those that did not.
    pub(super) unreachable: Vec<Unreachable>,
}

/// How one entry stands.
#[derive(Debug, Serialize)]
pub(super) struct EntryLine {
    name: String,
    data_centre: String,
    incarnation: String,
    ready: bool,
    draining: bool,
    config_mark: u64,
    revisions: BTreeMap<String, u64>,
}

/// An entry that did not answer.
#[derive(Debug, Serialize)]
pub(super) struct Unreachable {
    inner_address: SocketAddr,
    detail: String,
}

impl From<EntryStatus> for EntryLine {
    fn from(status: EntryStatus) -> Self {
        Self {
            name: status.name,
            data_centre: status.data_centre,
            incarnation: status.incarnation.to_string(),
            ready: status.ready,
            draining: status.draining,
            config_mark: status.config_mark.0,
            revisions: status.revisions.into_iter().collect(),
        }
    }
}

/// Asks all entries known how they stand.
pub(super) async fn collect(admin: &Admin, shared: &Shared) -> Rollout {
    let mut rollout = Rollout { entries: vec![own(admin, shared)], unreachable: Vec::new() };
    let ask = |address| async move { (address, admin.peers.status(shared, address).await) };
    let asked = admin.peers.others(shared).into_iter().map(ask);
    for (address, answer) in futures::future::join_all(asked).await {
        rollout.add(address, answer);
    }
    rollout.entries[1..].sort_by(|one, other| one.name.cmp(&other.name));
    rollout
}

impl Rollout {
    fn add(&mut self, inner_address: SocketAddr, answer: Result<EntryStatus, SessionError>) {
        match answer {
            Ok(status) => self.entries.push(status.into()),
            Err(err) => {
                self.unreachable.push(Unreachable { inner_address, detail: err.to_string() });
            }
        }
    }
}

fn own(admin: &Admin, shared: &Shared) -> EntryLine {
    let set = admin.in_force.load();
    EntryLine::from(EntryStatus {
        incarnation: shared.incarnation(),
        name: shared.settings.name.clone(),
        data_centre: shared.settings.data_centre.clone(),
        ready: shared.lifecycle.is_ready(),
        draining: shared.lifecycle.is_draining(),
        config_mark: shared.config_mark(),
        revisions: set.revisions(),
    })
}

#[get("/rollout")]
pub(super) async fn rollout(
    admin: &State<Arc<Admin>>,
    shared: &State<Arc<Shared>>,
    operator: Result<Operator, Problem>,
) -> Result<Reply, Problem> {
    operator?;
    Ok(Reply::json(&collect(admin, shared).await))
}

//! Data centres that are evacuated and taken back.

use {
    super::{
        Admin, on_its_own,
        operator::Operator,
        reply::{Problem, Reply},
    },
    crate::{
        shared::Shared,
        upstreams::{self, Agent},
    },
    rocket::{State, delete, get, put},
    serde::Serialize,
    std::{collections::BTreeSet, sync::Arc},
    sycamorerail_clock::Clock,
    sycamorerail_membership::{
        EvacuationRecord,
        evacuation::{self, Standing},
    },
    sycamorerail_settings::{FieldError, rules::is_name},
    sycamorerail_templates::new_change_id,
    sycamorerail_wire::answer::Outcome,
};

/// A word that was taken, or that stood already.
#[derive(Debug, Serialize)]
struct Said {
    data_centre: String,
    /// This call changed it.
    changed: bool,
    /// Platform revision since which it stands; 0 if it never was evacuated.
    revision: u64,
    #[serde(flatten)]
    record: EvacuationRecord,
}

#[derive(Debug, Serialize)]
struct List {
    evacuations: Vec<EvacuationLine>,
}

/// A data centre that is evacuated.
#[derive(Debug, Serialize)]
pub(super) struct EvacuationLine {
    data_centre: String,
    /// Platform revision since which it is; `null` where this entry was told by an agent
    /// and has not read the platform's record.
    revision: Option<u64>,
    changed_by: Option<String>,
    changed_unix_ms: Option<u64>,
    /// Upstreams there that are connected to this entry.
    upstreams: usize,
    /// Of these, those that still run something.
    running_upstreams: usize,
    /// Of these, those that did not tell.
    silent_upstreams: usize,
}

#[put("/evacuations/<name>?<unknown>")]
pub(super) async fn evacuate(
    admin: &State<Arc<Admin>>,
    shared: &State<Arc<Shared>>,
    operator: Result<Operator, Problem>,
    name: &str,
    unknown: Option<bool>,
) -> Result<Reply, Problem> {
    say(admin, shared, operator?, (name, unknown), true).await
}

#[delete("/evacuations/<name>?<unknown>")]
pub(super) async fn restore(
    admin: &State<Arc<Admin>>,
    shared: &State<Arc<Shared>>,
    operator: Result<Operator, Problem>,
    name: &str,
    unknown: Option<bool>,
) -> Result<Reply, Problem> {
    say(admin, shared, operator?, (name, unknown), false).await
}

#[get("/evacuations")]
pub(super) async fn list(
    admin: &State<Arc<Admin>>,
    shared: &State<Arc<Shared>>,
    operator: Result<Operator, Problem>,
) -> Result<Reply, Problem> {
    operator?;
    Ok(Reply::json(&List { evacuations: lines(admin, shared).await }))
}

async fn say(
    admin: &Admin,
    shared: &Shared,
    operator: Operator,
    (name, unknown): (&str, Option<bool>),
    evacuated: bool,
) -> Result<Reply, Problem> {
    check_name(admin, shared, name, unknown)?;
    let now_unix_ms = Clock::unix_ms();
    let word = EvacuationRecord {
        evacuated,
        change_id: new_change_id(now_unix_ms).to_string(),
        changed_by: operator.name,
        changed_unix_ms: now_unix_ms,
    };
    let (platform, data_centre) = (admin.platform.clone(), name.to_owned());
    let saying = async move { evacuation::say(&platform, &data_centre, &word).await };
    let detail = "stopping; the platform has not answered, and the word may take effect";
    let said = on_its_own(shared, saying, Problem::draining(Outcome::InDoubt, detail)).await?;
    admin.in_force.mirror().poke();
    let Standing { record, revision, changed } = said?;
    Ok(Reply::json(&Said { data_centre: name.to_owned(), changed, revision, record }))
}

/// Refuses a name that may be a slip of the pen.
fn check_name(
    admin: &Admin,
    shared: &Shared,
    name: &str,
    unknown: Option<bool>,
) -> Result<(), Problem> {
    if !is_name(name) {
        return Err(Problem::invalid("data_centre: allowed are 1 to 64 of a-z 0-9 _ -"));
    }
    let known = known(admin, shared);
    if unknown == Some(true) || known.contains(name) {
        return Ok(());
    }
    let known: Vec<_> = known.into_iter().collect();
    Err(Problem::of_fields(
        "no entry or agent on record is in the data centre",
        vec![FieldError {
            path: "data_centre".to_owned(),
            problem: format!("found {name:?}"),
            allowed: format!("{}; any other with unknown=true", known.join(", ")),
        }],
    ))
}

/// Data centres of the entries and agents on record or connected, and those evacuated.
fn known(admin: &Admin, shared: &Shared) -> BTreeSet<String> {
    let mut known = BTreeSet::from([shared.settings.data_centre.clone()]);
    if let Some(membership) = admin.peers.membership() {
        let members = membership.members();
        known.extend(members.entries.values().map(|entry| entry.record.data_centre.clone()));
        known.extend(members.agents.values().map(|agent| agent.record.agent.data_centre.clone()));
    }
    let snapshot = shared.upstreams.snapshot();
    known.extend(snapshot.agents.iter().map(|agent| agent.identity.data_centre.clone()));
    known.extend(shared.evacuations.borrow().data_centres.iter().cloned());
    known
}

/// The evacuated data centres in force here, with what their upstreams still run.
pub(super) async fn lines(admin: &Admin, shared: &Shared) -> Vec<EvacuationLine> {
    let names = shared.evacuations.borrow().data_centres.clone();
    let mut lines = Vec::with_capacity(names.len());
    for name in names {
        lines.push(line(admin, shared, name).await);
    }
    lines
}

async fn line(admin: &Admin, shared: &Shared, name: String) -> EvacuationLine {
    let copy = admin.in_force.mirror().snapshot();
    let standing = evacuation::standing(&copy).find(|(standing, _)| *standing == name);
    let standing = standing.map(|(_, standing)| standing);
    let snapshot = shared.upstreams.snapshot().clone();
    let is_there = |agent: &&Arc<Agent>| agent.identity.data_centre == name && agent.is_up();
    let there: Vec<_> = snapshot.agents.iter().filter(is_there).collect();
    let asked = there.iter().map(|agent| upstreams::ask_load(shared, agent));
    let loads = futures::future::join_all(asked).await;
    EvacuationLine {
        revision: standing.as_ref().map(|standing| standing.revision),
        changed_by: standing.as_ref().map(|standing| standing.record.changed_by.clone()),
        changed_unix_ms: standing.as_ref().map(|standing| standing.record.changed_unix_ms),
        upstreams: there.len(),
        running_upstreams: loads.iter().flatten().filter(|load| load.running > 0).count(),
        silent_upstreams: loads.iter().filter(|load| load.is_none()).count(),
        data_centre: name,
    }
}

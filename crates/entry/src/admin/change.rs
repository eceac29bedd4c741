//! Changes of templates: put, delete, roll back; and asking for their fate.

use {
    super::{
        Admin,
        condition::Condition,
        on_its_own,
        operator::Operator,
        reply::{ChangeBody, INVALID_TEMPLATE, Problem, Reply},
    },
    crate::shared::Shared,
    rocket::{Data, State, data::ToByteUnit, delete, get, http::Status, post, put},
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    sycamorerail_clock::Clock,
    sycamorerail_settings::rules::is_name,
    sycamorerail_templates::{
        Action, Change, ChangeState, Stamp, envelope::MAX_YAML_BYTES, validate::validate,
    },
    sycamorerail_wire::{
        answer::{Outcome, Reason},
        message::ConfigMark,
    },
    uuid::Uuid,
};

/// Longest wait for a peer to hear of a change.
const TELL_WITHIN: Duration = Duration::from_millis(500);

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Rollback {
    to: u64,
}

#[derive(Debug, Serialize)]
struct Valid {
    organisation: String,
    valid: bool,
}

#[derive(Debug, Serialize)]
struct Fate {
    outcome: ChangeOutcome,
    change_id: Uuid,
    #[serde(flatten)]
    change: Option<ChangeBody>,
    detail: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum ChangeOutcome {
    Accepted,
    NotRun,
    InDoubt,
    Unknown,
}

#[put("/organisations/<name>", data = "<data>")]
pub(super) async fn put(
    admin: &State<Arc<Admin>>,
    shared: &State<Arc<Shared>>,
    operator: Result<Operator, Problem>,
    condition: Result<Condition, Problem>,
    name: &str,
    data: Data<'_>,
) -> Result<Reply, Problem> {
    let (operator, condition) = (operator?, condition?);
    let yaml = read_text(shared, data).await?;
    publish(admin, shared, name, condition, Action::Put(yaml), operator).await
}

#[delete("/organisations/<name>")]
pub(super) async fn delete(
    admin: &State<Arc<Admin>>,
    shared: &State<Arc<Shared>>,
    operator: Result<Operator, Problem>,
    condition: Result<Condition, Problem>,
    name: &str,
) -> Result<Reply, Problem> {
    let (operator, condition) = (operator?, condition?);
    publish(admin, shared, name, condition, Action::Delete, operator).await
}

#[post("/organisations/<name>/rollback", data = "<data>")]
pub(super) async fn rollback(
    admin: &State<Arc<Admin>>,
    shared: &State<Arc<Shared>>,
    operator: Result<Operator, Problem>,
    condition: Result<Condition, Problem>,
    name: &str,
    data: Data<'_>,
) -> Result<Reply, Problem> {
    let (operator, condition) = (operator?, condition?);
    let body: Result<Rollback, _> = serde_json::from_str(&read_text(shared, data).await?);
    let Rollback { to } = body.map_err(|err| Problem::invalid(format!("body: {err}")))?;
    publish(admin, shared, name, condition, Action::Rollback(to), operator).await
}

#[post("/organisations/<name>/check", data = "<data>")]
pub(super) async fn check(
    shared: &State<Arc<Shared>>,
    operator: Result<Operator, Problem>,
    name: &str,
    data: Data<'_>,
) -> Result<Reply, Problem> {
    operator?;
    let yaml = read_text(shared, data).await?;
    validate(name, &yaml).map_err(|errors| Problem::of_fields(INVALID_TEMPLATE, errors.errors))?;
    Ok(Reply::json(&Valid { organisation: name.to_owned(), valid: true }))
}

/// `revision` is the one that the answer in doubt named; without it a change
/// that is not found cannot be told to be not run.
#[get("/changes/<change_id>?<organisation>&<revision>")]
pub(super) async fn look_up(
    admin: &State<Arc<Admin>>,
    operator: Result<Operator, Problem>,
    change_id: &str,
    organisation: Option<&str>,
    revision: Option<u64>,
) -> Result<Reply, Problem> {
    operator?;
    let organisation = organisation
        .filter(|name| is_name(name))
        .ok_or_else(|| Problem::invalid("expected ?organisation=<name>"))?;
    let change_id = Uuid::parse_str(change_id)
        .map_err(|_| Problem::invalid("expected the change_id of an answer, a UUID"))?;
    let state = admin.publisher.look_up(organisation, change_id, revision).await?;
    Ok(Reply::json(&fate(change_id, state)))
}

fn fate(change_id: Uuid, state: ChangeState) -> Fate {
    let (outcome, change, detail) = match state {
        ChangeState::Accepted(accepted) => (ChangeOutcome::Accepted, Some(accepted.into()), None),
        ChangeState::NotRun => {
            (ChangeOutcome::NotRun, None, "another change came first; it never will be run".into())
        }
        ChangeState::InDoubt => (
            ChangeOutcome::InDoubt,
            None,
            "not run so far; the same call with its change_id as Idempotency-Key decides it".into(),
        ),
        ChangeState::Unknown => (
            ChangeOutcome::Unknown,
            None,
            "not in the history kept; give the revision of the answer in doubt as ?revision="
                .into(),
        ),
    };
    Fate { outcome, change_id, change, detail }
}

async fn publish(
    admin: &Arc<Admin>,
    shared: &Arc<Shared>,
    name: &str,
    condition: Condition,
    action: Action,
    operator: Operator,
) -> Result<Reply, Problem> {
    if !is_name(name) {
        return Err(Problem::invalid("organisation: allowed are 1 to 64 of a-z 0-9 _ -"));
    }
    let stamp = Stamp {
        change_id: condition.change_id,
        published_by: operator.name,
        published_unix_ms: Clock::unix_ms(),
    };
    let change = Change { organisation: name.to_owned(), base: condition.base, action, stamp };
    let publisher = admin.publisher.clone();
    let publishing = async move { publisher.publish(&change).await };
    let detail = "stopping; the platform has not answered, and the change may take effect";
    let doubt = Problem::draining(Outcome::InDoubt, detail).of_change(condition.change_id);
    let accepted = on_its_own(shared, publishing, doubt).await??;
    tell_peers(admin, shared, accepted.mark);
    let revision = accepted.revision;
    Ok(Reply::json(&ChangeBody::from(accepted)).of_revision(revision))
}

/// Tells other entries the new mark: each looks for the change unless its
/// watch has brought it.
fn tell_peers(admin: &Arc<Admin>, shared: &Arc<Shared>, mark: ConfigMark) {
    let (admin, shared) = (Arc::clone(admin), Arc::clone(shared));
    tokio::spawn(async move { admin.peers.templates(&shared, mark, TELL_WITHIN).await });
}

async fn read_text(shared: &Shared, data: Data<'_>) -> Result<String, Problem> {
    let reading = data.open(MAX_YAML_BYTES.bytes()).into_bytes();
    let Some(read) = shared.lifecycle.before_end(reading).await else {
        return Err(Problem::draining(Outcome::NotRun, "stopping; the body did not come in time"));
    };
    let bytes = read.map_err(|err| Problem::invalid(format!("the body broke off: {err}")))?;
    if !bytes.is_complete() {
        let detail = format!("the template may have {MAX_YAML_BYTES} bytes at most");
        return Err(Problem::new(Status::PayloadTooLarge, Reason::TooLarge, detail));
    }
    String::from_utf8(bytes.into_inner()).map_err(|_| Problem::invalid("the body is no UTF-8"))
}

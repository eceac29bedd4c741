//! Templates and their history, as this entry's copy of the platform has them.

use {
    super::{
        Admin,
        operator::Operator,
        reply::{Problem, Reply},
    },
    rocket::{State, get},
    serde::Serialize,
    std::sync::Arc,
    sycamorerail_templates::{Envelope, Stamp, envelope},
};

#[derive(Debug, Serialize)]
struct List {
    mark: u64,
    organisations: Vec<Listed>,
}

#[derive(Debug, Serialize)]
struct Listed {
    organisation: String,
    revision: u64,
    mark: u64,
    #[serde(flatten)]
    stamp: Stamp,
}

#[derive(Debug, Serialize)]
struct History {
    organisation: String,
    revisions: Vec<Revision>,
}

#[derive(Debug, Serialize)]
struct Revision {
    revision: u64,
    #[serde(flatten)]
    stamp: Stamp,
    deleted: bool,
    /// Its template can be read and rolled back to.
    kept: bool,
}

#[get("/organisations")]
pub(super) fn list(
    admin: &State<Arc<Admin>>,
    operator: Result<Operator, Problem>,
) -> Result<Reply, Problem> {
    operator?;
    let set = admin.in_force.load();
    let living = set.records.iter().filter(|(_, record)| record.template.is_some());
    let organisations = living.map(|(name, record)| Listed {
        organisation: name.clone(),
        revision: record.revision,
        mark: record.mark.0,
        stamp: record.stamp.clone(),
    });
    Ok(Reply::json(&List { mark: set.mark.0, organisations: organisations.collect() }))
}

#[get("/organisations/<name>")]
pub(super) fn current(
    admin: &State<Arc<Admin>>,
    operator: Result<Operator, Problem>,
    name: &str,
) -> Result<Reply, Problem> {
    operator?;
    let envelope = stored(admin, name)?;
    let revision = envelope.revision;
    let deleted = || Problem::not_found(format!("deleted by revision {revision}"));
    let yaml = envelope.yaml_of(revision).ok_or_else(deleted)?;
    Ok(Reply::yaml(yaml).of_revision(revision))
}

#[get("/organisations/<name>/history")]
pub(super) fn history(
    admin: &State<Arc<Admin>>,
    operator: Result<Operator, Problem>,
    name: &str,
) -> Result<Reply, Problem> {
    operator?;
    let envelope = stored(admin, name)?;
    let numbers = (1..=envelope.revision).rev();
    let revisions = numbers.map_while(|number| revision_of(&envelope, number)).collect();
    let reply = Reply::json(&History { organisation: name.to_owned(), revisions });
    Ok(reply.of_revision(envelope.revision))
}

fn revision_of(envelope: &Envelope, revision: u64) -> Option<Revision> {
    Some(Revision {
        revision,
        stamp: envelope.stamp_of(revision)?.clone(),
        deleted: envelope.is_deletion(revision),
        kept: envelope.yaml_of(revision).is_some(),
    })
}

#[get("/organisations/<name>/history/<revision>")]
pub(super) fn revision(
    admin: &State<Arc<Admin>>,
    operator: Result<Operator, Problem>,
    name: &str,
    revision: u64,
) -> Result<Reply, Problem> {
    operator?;
    let envelope = stored(admin, name)?;
    let missing = || Problem::not_found(format!("no template of revision {revision} is kept"));
    let yaml = envelope.yaml_of(revision).ok_or_else(missing)?;
    Ok(Reply::yaml(yaml).of_revision(revision))
}

/// The record stored, tombstones included.
fn stored(admin: &Admin, name: &str) -> Result<Envelope, Problem> {
    let table = admin.in_force.mirror().snapshot();
    let item = table
        .get(&envelope::key(name))
        .ok_or_else(|| Problem::not_found("no such organisation"))?;
    Envelope::decode(&item.value).map_err(|err| Problem::not_found(err.to_string()))
}

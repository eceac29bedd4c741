//! HTTP for operators: templates, their history and rollout, status, drain.

mod change;
mod condition;
mod drain;
mod evacuation;
mod operator;
mod read;
mod reply;
mod rollout;
mod status;

use {
    crate::{organisations::TokenHash, peers::Peers, shared::Shared},
    reply::Problem,
    rocket::{Build, Rocket, http::Status, routes},
    std::{collections::HashMap, sync::Arc},
    sycamorerail_platform::Platform,
    sycamorerail_settings::entry::TokenSettings,
    sycamorerail_templates::{InForce, Publisher},
    sycamorerail_wire::answer::Reason,
};

/// What the administration needs.
#[derive(Debug)]
pub struct Admin {
    operators: HashMap<TokenHash, String>,
    in_force: InForce,
    publisher: Publisher,
    platform: Platform,
    peers: Peers,
}

impl Admin {
    /// The administration of one entry, open to these operators.
    #[must_use]
    pub fn new(
        operators: &[TokenSettings],
        in_force: InForce,
        publisher: Publisher,
        platform: Platform,
        peers: Peers,
    ) -> Self {
        let hashed = |operator: &TokenSettings| {
            let hash = crate::organisations::parse_hash(&operator.token_sha256)?;
            Some((hash, operator.name.clone()))
        };
        let operators = operators.iter().filter_map(hashed).collect();
        Self { operators, in_force, publisher, platform, peers }
    }
}

/// Makes a change on a task of its own, so that an operator who hangs up does not leave it
/// half done. `doubt` is the answer if it is not done as a planned stop ends.
async fn on_its_own<T: Send + 'static>(
    shared: &Shared,
    change: impl Future<Output = T> + Send + 'static,
    doubt: Problem,
) -> Result<T, Problem> {
    let made = shared.lifecycle.before_end(tokio::spawn(change)).await.ok_or(doubt)?;
    made.map_err(|err| Problem::new(Status::InternalServerError, Reason::Invalid, err.to_string()))
}

/// Adds the administration to an entry's HTTP server.
#[must_use]
pub fn mount(rocket: Rocket<Build>, admin: Arc<Admin>) -> Rocket<Build> {
    let changes =
        routes![change::put, change::delete, change::rollback, change::check, change::look_up,];
    let reads = routes![read::list, read::current, read::history, read::revision];
    let evacuations = routes![evacuation::list, evacuation::evacuate, evacuation::restore];
    let others = routes![rollout::rollout, status::status, drain::drain];
    rocket
        .manage(admin)
        .mount("/v1/admin", changes)
        .mount("/v1/admin", reads)
        .mount("/v1/admin", evacuations)
        .mount("/v1/admin", others)
}

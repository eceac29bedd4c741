//! Reserving ids. It runs nothing.

use {
    super::{
        body::{BodyLength, read_json},
        reply::Refusal,
        token::Caller,
    },
    crate::shared::Shared,
    rocket::{Data, State, http::Status, post, serde::json::Json},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    sycamorerail_wire::answer::Reason,
};

/// When to come back to a balancer after an entry was found draining.
const DRAINING_RETRY_MS: u64 = 100;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Reserve {
    count: u32,
}

#[derive(Debug, Serialize)]
pub(super) struct Reserved {
    ids: Vec<String>,
}

#[post("/v1/ids", data = "<data>")]
pub(super) async fn reserve(
    shared: &State<Arc<Shared>>,
    caller: Result<Caller, Refusal>,
    length: BodyLength,
    data: Data<'_>,
) -> Result<Json<Reserved>, Refusal> {
    let organisation = caller?.organisation;
    let limits = &shared.settings.limits;
    let asked: Reserve = read_json(data, length, limits.max_body_bytes).await?;
    if !(1..=limits.max_reserved_ids).contains(&asked.count) {
        let most = limits.max_reserved_ids;
        return Err(Refusal::invalid(format!("count: allowed are 1 to {most}")));
    }
    if shared.lifecycle.is_draining() {
        let refusal = Refusal::new(Status::ServiceUnavailable, Reason::Draining, "stopping");
        return Err(refusal.retry_after_ms(DRAINING_RETRY_MS));
    }
    let ids = shared.mint(organisation.key, asked.count);
    Ok(Json(Reserved { ids: ids.iter().map(ToString::to_string).collect() }))
}

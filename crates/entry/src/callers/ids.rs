//! Reserving ids. It runs nothing.

use {
    super::{
        body::{BodyLength, draining, read_json},
        reply::Refusal,
        token::Caller,
    },
    crate::shared::Shared,
    rocket::{Data, State, post, serde::json::Json},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

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
    let asked: Reserve = read_json(&shared.lifecycle, data, length, limits.max_body_bytes).await?;
    if !(1..=limits.max_reserved_ids).contains(&asked.count) {
        let most = limits.max_reserved_ids;
        return Err(Refusal::invalid(format!("count: allowed are 1 to {most}")));
    }
    if shared.lifecycle.is_draining() {
        return Err(draining("stopping"));
    }
    let ids = shared.mint(organisation.key, asked.count);
    Ok(Json(Reserved { ids: ids.iter().map(ToString::to_string).collect() }))
}

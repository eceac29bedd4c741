//! Who calls: the organisation of a bearer token.

use {
    super::reply::Refusal,
    crate::{organisations::Organisation, shared::Shared},
    rocket::{
        Request,
        http::Status,
        request::{FromRequest, Outcome},
    },
    std::sync::Arc,
    sycamorerail_wire::{answer::Reason, ids::JobId},
};

const BEARER: &str = "Bearer ";
/// When to come back to an entry without configuration, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 1_000;

/// Who calls.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    pub(super) organisation: Arc<Organisation>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Caller {
    type Error = Refusal;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Refusal> {
        match identify(request) {
            Ok(caller) => Outcome::Success(caller),
            Err(refusal) => Outcome::Error((Status::Unauthorized, refusal)),
        }
    }
}

fn identify(request: &Request<'_>) -> Result<Caller, Refusal> {
    let Some(shared) = request.rocket().state::<Arc<Shared>>() else {
        return Err(not_ready());
    };
    if !shared.lifecycle.is_configured() {
        return Err(not_ready());
    }
    let header = request.headers().get_one("Authorization");
    let token = header.and_then(|value| value.strip_prefix(BEARER)).ok_or_else(|| {
        unauthorised("expected the header `Authorization: Bearer <token>` of an organisation")
    })?;
    let organisations = shared.organisations.load();
    let organisation = organisations
        .of_token(token)
        .ok_or_else(|| unauthorised("the token is none of an organisation in force"))?;
    Ok(Caller { organisation: Arc::clone(organisation) })
}

fn not_ready() -> Refusal {
    Refusal::new(Status::ServiceUnavailable, Reason::NotReady, "no configuration yet")
        .retry_after_ms(NOT_READY_RETRY_MS)
}

fn unauthorised(detail: &str) -> Refusal {
    Refusal::new(Status::Unauthorized, Reason::Unauthorised, detail)
}

impl Caller {
    /// Reads an id of this organisation.
    pub(super) fn own_id(&self, shared: &Shared, text: &str) -> Result<JobId, Refusal> {
        let id = JobId::parse(&shared.id_key, text)
            .map_err(|err| Refusal::invalid(format!("id: {err}")))?;
        if id.organisation == self.organisation.key {
            Ok(id)
        } else {
            // Not told apart from an id that does not exist.
            Err(Refusal::new(Status::NotFound, Reason::NotFound, "no such id"))
        }
    }
}

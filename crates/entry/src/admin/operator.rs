//! Who calls: the operator of a bearer token.

use {
    super::{Admin, reply::Problem},
    crate::{organisations::TokenHash, shared::Shared},
    rocket::{
        Request,
        http::Status,
        request::{FromRequest, Outcome},
    },
    sha2::{Digest, Sha256},
    std::sync::Arc,
    sycamorerail_wire::answer::Reason,
};

const BEARER: &str = "Bearer ";

/// Who calls.
#[derive(Clone, Debug)]
pub(super) struct Operator {
    /// Name from the settings.
    pub(super) name: String,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = Problem;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Problem> {
        match identify(request) {
            Ok(operator) => Outcome::Success(operator),
            Err(problem) => Outcome::Error((problem.status, problem)),
        }
    }
}

fn identify(request: &Request<'_>) -> Result<Operator, Problem> {
    let header = request.headers().get_one("Authorization");
    let Some(token) = header.and_then(|value| value.strip_prefix(BEARER)) else {
        let detail = "expected the header `Authorization: Bearer <token>` of an operator";
        return Err(Problem::new(Status::Unauthorized, Reason::Unauthorised, detail));
    };
    // Hashed first, so that the time of the look-up tells nothing of stored ones.
    let hash: TokenHash = Sha256::digest(token.as_bytes()).into();
    let admin = request.rocket().state::<Arc<Admin>>();
    if let Some(name) = admin.and_then(|admin| admin.operators.get(&hash)) {
        return Ok(Operator { name: name.clone() });
    }
    let shared = request.rocket().state::<Arc<Shared>>();
    let is_caller =
        shared.is_some_and(|shared| shared.organisations.load().of_token(token).is_some());
    if is_caller {
        let detail = "the token is an organisation's; this needs an operator's";
        return Err(Problem::new(Status::Forbidden, Reason::Forbidden, detail));
    }
    let detail = "the token is no operator's";
    Err(Problem::new(Status::Unauthorized, Reason::Unauthorised, detail))
}

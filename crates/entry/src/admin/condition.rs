//! What a change expects to find, and its identity, from the headers.

use {
    super::reply::Problem,
    rocket::{
        Request,
        http::Status,
        request::{FromRequest, Outcome},
    },
    sycamorerail_clock::Clock,
    sycamorerail_templates::{Base, new_change_id},
    sycamorerail_wire::answer::Reason,
    uuid::Uuid,
};

const IF_MATCH: &str = "If-Match";
const IF_NONE_MATCH: &str = "If-None-Match";
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const HOW: &str = "a change names the revision that it replaces, so that two operators cannot \
                   overwrite each other unseen: send If-Match: \"N\" with the revision from the \
                   ETag of a GET, or If-None-Match: * to create an organisation";

/// What a change expects to find, and its identity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Condition {
    pub(super) base: Base,
    /// The operator's own, or a new one.
    pub(super) change_id: Uuid,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Condition {
    type Error = Problem;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Problem> {
        match read(request) {
            Ok(condition) => Outcome::Success(condition),
            Err(problem) => Outcome::Error((problem.status, problem)),
        }
    }
}

fn read(request: &Request<'_>) -> Result<Condition, Problem> {
    let headers = request.headers();
    let base = match (headers.get_one(IF_MATCH), headers.get_one(IF_NONE_MATCH)) {
        (None, None) => {
            return Err(Problem::new(Status::PreconditionRequired, Reason::Invalid, HOW));
        }
        (Some(_), Some(_)) => {
            return Err(Problem::invalid("found both If-Match and If-None-Match; allowed: one"));
        }
        (None, Some("*")) => Base::Absent,
        (None, Some(other)) => {
            return Err(Problem::invalid(format!("If-None-Match: found {other:?}; allowed: *")));
        }
        (Some(text), None) => Base::Revision(revision(text)?),
    };
    let change_id = match headers.get_one(IDEMPOTENCY_KEY) {
        None => new_change_id(Clock::unix_ms()),
        Some(text) => Uuid::parse_str(text)
            .map_err(|_| Problem::invalid("Idempotency-Key: expected a UUID"))?,
    };
    Ok(Condition { base, change_id })
}

fn revision(text: &str) -> Result<u64, Problem> {
    let quoted = text.strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
    quoted.and_then(|text| text.parse().ok()).ok_or_else(|| {
        Problem::invalid(format!("If-Match: found {text:?}; allowed: a revision as \"7\""))
    })
}

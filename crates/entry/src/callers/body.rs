//! Bodies: their size is checked before they are read.

use {
    super::reply::Refusal,
    crate::drain::Lifecycle,
    rocket::{
        Data, Request,
        data::ByteUnit,
        http::Status,
        request::{FromRequest, Outcome},
    },
    serde::de::DeserializeOwned,
    std::convert::Infallible,
    sycamorerail_wire::answer::Reason,
};

/// Length that a request declares.
#[derive(Clone, Copy, Debug)]
pub struct BodyLength(Option<u64>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for BodyLength {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let declared = request.headers().get_one("Content-Length");
        Outcome::Success(Self(declared.and_then(|text| text.parse().ok())))
    }
}

/// When to come back to a balancer after an entry was found draining, in milliseconds.
pub const DRAINING_RETRY_MS: u64 = 100;

/// Reads a JSON body of at most `max_bytes`.
///
/// # Errors
///
/// When it is too large, not what is expected, or not there as a planned stop ends.
pub async fn read_json<T: DeserializeOwned>(
    lifecycle: &Lifecycle,
    data: Data<'_>,
    length: BodyLength,
    max_bytes: u64,
) -> Result<T, Refusal> {
    let too_large = || {
        let detail = format!("the body may have {max_bytes} bytes at most");
        Refusal::new(Status::PayloadTooLarge, Reason::TooLarge, detail)
    };
    if length.0.is_some_and(|declared| declared > max_bytes) {
        return Err(too_large());
    }
    let reading = data.open(ByteUnit::Byte(max_bytes)).into_bytes();
    let Some(read) = lifecycle.before_end(reading).await else {
        return Err(draining("stopping; the body did not come in time, and nothing was done"));
    };
    let bytes = read.map_err(|err| Refusal::invalid(format!("the body broke off: {err}")))?;
    if !bytes.is_complete() {
        return Err(too_large());
    }
    serde_json::from_slice(&bytes).map_err(|err| Refusal::invalid(format!("body: {err}")))
}

/// Refuses what a draining entry does not take; another one may.
pub(super) fn draining(detail: &str) -> Refusal {
    Refusal::new(Status::ServiceUnavailable, Reason::Draining, detail)
        .retry_after_ms(DRAINING_RETRY_MS)
}

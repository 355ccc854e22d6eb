//! Parses and validates the head of a client's request: its class, and the headers of the protocol.

use crate::http1::error::MessageError;
use balancer::{ClassId, Idempotency, TenantId};
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri};
use settings::SettingNames;
use std::time::Duration;
use thiserror::Error;

/// Longest timeout that a client may state in `X-Timeout`.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

/// Exclusive upper bound of the expected work that a client may state in `X-Cost`, in microseconds.
const WORK_LIMIT_US: f64 = 1e12;
const MICROS_PER_SECOND: f64 = 1e6;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const TENANT: HeaderName = HeaderName::from_static("x-tenant-id");
const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout");
/// States the expected work, in microseconds.
const COST: HeaderName = HeaderName::from_static("x-cost");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Why a client's request is rejected.
///
/// The text is counted in the log and sent to the client as the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The message is not valid HTTP for this proxy, or was received too slowly.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// The first segment of the path does not name a request class.
    #[error("unknown class of requests")]
    UnknownClass,
    /// The class is configured, but its index exceeds the balancer's [`ClassId`].
    #[error("unknown class of requests")]
    UnsupportedClass,
    /// A header that the proxy reads occurs more than once, so that it is ambiguous which value
    /// counts.
    #[error("a header that counts once came twice")]
    RepeatedHeader,
    /// `X-Request-ID` is missing, empty or not text.
    #[error("X-Request-ID is missing")]
    MissingRequestId,
    /// `X-Timeout` is missing, cannot be parsed, is zero or exceeds [`MAX_TIMEOUT`].
    #[error("X-Timeout is missing or makes no sense")]
    InvalidTimeout,
    /// The class is keyed, and `Idempotency-Key` is missing, empty or not text.
    #[error("Idempotency-Key is missing")]
    MissingIdempotencyKey,
    /// The method does not fit the class: idempotent classes take GET, the others take POST.
    #[error("another method goes with this class")]
    WrongMethod,
    /// The settings have tenants, and `X-Tenant-ID` is missing or names none of them.
    #[error("unknown tenant")]
    UnknownTenant,
    /// The target of the request has no path.
    #[error("the target has no path")]
    TargetWithoutPath,
    /// `X-Cost` is not a number of microseconds from 0 to below 10^12.
    #[error("X-Cost makes no sense")]
    InvalidCost,
    /// The node has no memory for the request; it was not forwarded.
    #[error("refused: there is no room for the request, and trying again is harmless")]
    Overloaded,
    /// Another request with the same `X-Request-ID` is in flight; backends would take this one for
    /// a retry of it.
    #[error("a request of this X-Request-ID is open")]
    DuplicateRequestId,
}

impl RequestError {
    /// Returns the status of the response that rejects the request: 4xx, or 503 if trying again is
    /// harmless.
    pub fn status(self) -> StatusCode {
        match self {
            RequestError::Message(error) => error.status(),
            RequestError::UnknownClass => StatusCode::NOT_FOUND,
            RequestError::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::DuplicateRequestId => StatusCode::CONFLICT,
            RequestError::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::UnsupportedClass
            | RequestError::RepeatedHeader
            | RequestError::MissingRequestId
            | RequestError::InvalidTimeout
            | RequestError::MissingIdempotencyKey
            | RequestError::UnknownTenant
            | RequestError::TargetWithoutPath
            | RequestError::InvalidCost => StatusCode::BAD_REQUEST,
        }
    }
}

/// The head of a valid request: what the proxy needs to know to forward it.
pub struct RequestHead {
    /// The request class, which the first segment of the path names.
    pub class: ClassId,
    /// The tenant, from `X-Tenant-ID`.
    pub tenant: TenantId,
    /// The expected work, from `X-Cost`; `None` if the client did not state it.
    pub work: Option<Duration>,
    /// How long the client waits for the response, from `X-Timeout`; at most [`MAX_TIMEOUT`].
    pub timeout: Duration,
    /// The value of `X-Request-ID`, which has to be unique among the requests in flight.
    pub id: Box<[u8]>,
    /// The path and query, which are forwarded unchanged.
    pub target: Uri,
}

impl RequestHead {
    /// Parses and validates a head by the `names` of classes and tenants, and the idempotency of
    /// each class, which is indexed as the names are.
    ///
    /// # Errors
    ///
    /// Returns the first of the [`RequestError`]s that applies, except [`RequestError::Message`]
    /// and [`RequestError::DuplicateRequestId`], which are found elsewhere.
    pub fn parse(
        parts: &Parts,
        names: &SettingNames,
        idempotency_by_class: &[Idempotency],
    ) -> Result<Self, RequestError> {
        let headers = &parts.headers;
        let class = class_index(parts.uri.path(), &names.classes)?;
        check_single_headers(headers)?;
        let id = header_text(headers, &REQUEST_ID)
            .filter(|id| !id.is_empty())
            .ok_or(RequestError::MissingRequestId)?;
        let timeout = header_text(headers, &TIMEOUT)
            .and_then(parse_timeout)
            .ok_or(RequestError::InvalidTimeout)?;
        check_idempotency(idempotency_by_class[class], &parts.method, headers)?;
        let tenant = tenant_index(headers, &names.tenants)?;
        let target = parts.uri.path_and_query().cloned().map(Uri::from);
        let target = target.ok_or(RequestError::TargetWithoutPath)?;
        let work = expected_work(headers)?;
        let class = u8::try_from(class).map_err(|_| RequestError::UnsupportedClass)?;
        let tenant = u16::try_from(tenant).map_err(|_| RequestError::UnknownTenant)?;
        Ok(RequestHead {
            class: ClassId(class),
            tenant: TenantId(tenant),
            work,
            timeout,
            id: id.as_bytes().into(),
            target,
        })
    }
}

/// Returns the index of the class that the first segment of a path names.
fn class_index(path: &str, classes: &[String]) -> Result<usize, RequestError> {
    let segment = path
        .trim_start_matches('/')
        .split('/')
        .next()
        .unwrap_or_default();
    classes
        .iter()
        .position(|class| class == segment && !class.is_empty())
        .ok_or(RequestError::UnknownClass)
}

/// Checks that none of the headers that the proxy reads occurs more than once.
fn check_single_headers(headers: &HeaderMap) -> Result<(), RequestError> {
    let single = [&REQUEST_ID, &TENANT, &TIMEOUT, &COST, &IDEMPOTENCY_KEY];
    let is_repeated = |name: &HeaderName| headers.get_all(name).iter().nth(1).is_some();
    if single.into_iter().any(is_repeated) {
        return Err(RequestError::RepeatedHeader);
    }
    Ok(())
}

/// Checks that a request has the method and, if need be, the key that its class requires.
fn check_idempotency(
    idempotency: Idempotency,
    method: &Method,
    headers: &HeaderMap,
) -> Result<(), RequestError> {
    let has_key = header_text(headers, &IDEMPOTENCY_KEY).is_some_and(|key| !key.is_empty());
    if matches!(idempotency, Idempotency::Keyed { .. }) && !has_key {
        return Err(RequestError::MissingIdempotencyKey);
    }
    if (*method == Method::GET) != (idempotency == Idempotency::Idempotent) {
        return Err(RequestError::WrongMethod);
    }
    Ok(())
}

/// Returns the index of the tenant that a request names; 0 if the settings have no tenants.
fn tenant_index(headers: &HeaderMap, tenants: &[String]) -> Result<usize, RequestError> {
    if tenants.is_empty() {
        return Ok(0);
    }
    let name = header_text(headers, &TENANT).ok_or(RequestError::UnknownTenant)?;
    tenants
        .iter()
        .position(|tenant| tenant == name)
        .ok_or(RequestError::UnknownTenant)
}

/// Parses the expected work that the client states; `None` if it states none.
fn expected_work(headers: &HeaderMap) -> Result<Option<Duration>, RequestError> {
    let Some(cost) = headers.get(COST) else {
        return Ok(None);
    };
    let micros = cost.to_str().unwrap_or_default().trim().parse::<f64>();
    match micros {
        Ok(micros) if (0.0..WORK_LIMIT_US).contains(&micros) => {
            Ok(Some(Duration::from_secs_f64(micros / MICROS_PER_SECOND)))
        }
        _ => Err(RequestError::InvalidCost),
    }
}

/// Returns a header's value without surrounding whitespace; `None` if it is missing or not visible
/// ASCII.
fn header_text<'h>(headers: &'h HeaderMap, name: &HeaderName) -> Option<&'h str> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.trim())
}

/// Returns the timeout that a head states; `None` if there is none or it is invalid.
pub fn stated_timeout(headers: &HeaderMap) -> Option<Duration> {
    parse_timeout(header_text(headers, &TIMEOUT)?)
}

/// Parses a timeout: digits and a unit, `m` for milliseconds or `u` for microseconds. Returns
/// `None` if the text is not of that form, or the timeout is zero or exceeds [`MAX_TIMEOUT`].
fn parse_timeout(text: &str) -> Option<Duration> {
    let digits = text.get(..text.len().checked_sub(1)?)?;
    if !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let number = digits.parse().ok()?;
    let timeout = match text.as_bytes().last()? {
        b'm' => Duration::from_millis(number),
        b'u' => Duration::from_micros(number),
        _ => return None,
    };
    (timeout > Duration::ZERO && timeout <= MAX_TIMEOUT).then_some(timeout)
}

#[cfg(test)]
#[path = "request_head_tests.rs"]
mod tests;

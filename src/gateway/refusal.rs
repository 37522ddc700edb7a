//! Error responses that the router itself generates.

use super::body;
use crate::{api_error, fingerprint};
use doorswitch_core::ids;
use doorswitch_platform::headers;
use http::{HeaderValue, Response, StatusCode, header};

/// The field of a log line that names the parts of a prompt, if its request is refused because of one; otherwise empty.
pub fn parts_field(
    error: &api_error::ApiError,
    parts: &[headers::Part],
    part_fingerprints: &[ids::Fingerprint],
) -> String {
    match error.code {
        api_error::PART_QUARANTINED => {
            format!(" parts={}", fingerprint::part_names(parts, part_fingerprints))
        }
        _ => String::new(),
    }
}

/// Converts an error into a response, with a `Retry-After` header if the client may retry.
pub fn response(error: &api_error::ApiError) -> Response<body::Body> {
    let status = StatusCode::from_u16(error.status.as_u16());
    let mut response = Response::new(body::Body::whole(error.body().to_string()));
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after_ms) = error.retry_after_ms {
        let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// The error if no route matches the host and path of a request.
pub fn no_route() -> api_error::ApiError {
    let message = "no route matches the host and path of the request";
    not_run(actix_web::http::StatusCode::NOT_FOUND, "no_route", message)
}

/// The error if a request has no API key or an unknown one.
pub fn unauthorized() -> api_error::ApiError {
    let message = "the API key is missing or unknown";
    not_run(actix_web::http::StatusCode::UNAUTHORIZED, "invalid_api_key", message)
}

/// The error if a required header is missing or a header is malformed.
pub fn bad_head() -> api_error::ApiError {
    api_error::ApiError::invalid("bad_head", "a header is missing or malformed")
}

/// The error if the request body exceeds the configured size.
pub fn body_too_large() -> api_error::ApiError {
    let message = "the request body is larger than the configuration allows";
    not_run(actix_web::http::StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}

/// The error if the request body is not received in time.
pub fn body_too_slow() -> api_error::ApiError {
    let message = "the request body was not received in time";
    not_run(actix_web::http::StatusCode::REQUEST_TIMEOUT, "body_too_slow", message)
}

/// The error if a request was sent to a server and no complete answer was received: it may have run.
pub fn outcome_unknown() -> api_error::ApiError {
    let status = actix_web::http::StatusCode::BAD_GATEWAY;
    let message = "the request was sent and may have run; no complete answer was received";
    let mut error = not_run(status, "outcome_unknown", message);
    error.execution = api_error::Execution::Unknown;
    error
}

/// The error if the deadline passes before the answer is complete: the request may have run.
pub fn deadline_exceeded() -> api_error::ApiError {
    let status = actix_web::http::StatusCode::GATEWAY_TIMEOUT;
    let mut error = not_run(status, "timeout", "the answer was not received before the deadline");
    error.execution = api_error::Execution::Unknown;
    error
}

/// The error if the deadline passes before any of the request was sent to a server.
pub fn not_sent_in_time() -> api_error::ApiError {
    let status = actix_web::http::StatusCode::SERVICE_UNAVAILABLE;
    not_run(status, "not_sent", "no server was reached before the deadline")
}

/// The error if a request could not reach a server before its deadline. It did not run.
pub fn too_late(retry_after_ms: u64) -> api_error::ApiError {
    let mut error = not_sent_in_time();
    error.retry_after_ms = Some(retry_after_ms);
    error
}

fn not_run(
    status: actix_web::http::StatusCode,
    code: &'static str,
    message: &str,
) -> api_error::ApiError {
    api_error::ApiError::not_run(status, code, message)
}

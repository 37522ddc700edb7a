//! Errors for callers, as JSON in the format of the OpenAI-compatible API.
//!
//! Each error states whether the request ran: `not_run`, `ran` or `unknown`.

use actix_web::http::StatusCode;
use actix_web::{HttpResponse, HttpResponseBuilder};
use doorswitch_core::node;
use serde::Serialize;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// The request did not run and consumed nothing.
    NotRun,
    /// The request ran, in part or in full.
    Ran,
    /// The request may have run.
    Unknown,
}

/// An error that is returned to a caller.
#[derive(Clone, Debug)]
pub struct ApiError {
    /// The HTTP status of the response.
    pub status: StatusCode,
    /// The error code, for programs.
    pub code: &'static str,
    /// The description of the error, for people.
    pub message: String,
    /// Whether the request ran.
    pub execution: Execution,
    /// After which time the caller may retry, in milliseconds; `None` if no time is suggested.
    pub retry_after_ms: Option<u64>,
}

impl ApiError {
    /// An error for an invalid request.
    pub fn invalid(code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, code, message)
    }

    /// An error for a request that did not run, without a time to retry.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            execution: Execution::NotRun,
            retry_after_ms: None,
        }
    }

    /// The error if the control thread has ended because the process is stopping.
    pub fn closing() -> Self {
        refusal(node::Reason::Stopping, 1_000)
    }

    /// The JSON body of the error.
    pub fn body(&self) -> serde_json::Value {
        serde_json::json!({
            "error": {
                "message": self.message,
                "type": error_type(self.status),
                "code": self.code,
                "param": null,
                "ran": self.execution,
                "retry_after_ms": self.retry_after_ms,
            }
        })
    }

    /// The HTTP response with the error. `Retry-After` is rounded up to whole seconds.
    pub fn response(&self) -> HttpResponse {
        let mut response = HttpResponseBuilder::new(self.status);
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1_000).max(1);
            response.insert_header(("Retry-After", seconds.to_string()));
        }
        response.json(self.body())
    }
}

/// The error for a request that the control state refused.
pub fn refusal(reason: node::Reason, retry_after_ms: u64) -> ApiError {
    let (status, code, message) = describe(reason);
    let execution = match reason {
        node::Reason::InProgress => Execution::Unknown,
        _ => Execution::NotRun,
    };
    let retry_after_ms = match reason {
        node::Reason::IdConflict | node::Reason::Unconfigured => None,
        _ => Some(retry_after_ms),
    };
    ApiError { status, code, message: message.to_owned(), execution, retry_after_ms }
}

/// The code of a refusal because of a part of the prompt.
pub const PART_QUARANTINED: &str = "prompt_part_quarantined";

/// The status, the code and the message for the reason of a refusal.
fn describe(reason: node::Reason) -> (StatusCode, &'static str, &'static str) {
    use node::Reason;
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match reason {
        Reason::NotReady => (unavailable, "not_ready", "this router has no configuration yet"),
        Reason::Stopping => (unavailable, "stopping", "this router is stopping"),
        Reason::Fenced => (
            unavailable,
            "fenced",
            "this router has been fenced off and must restart before it accepts requests",
        ),
        Reason::Unconfigured => {
            (StatusCode::NOT_FOUND, "not_configured", "the service or budget is not configured")
        }
        Reason::BudgetExhausted => (
            StatusCode::PAYMENT_REQUIRED,
            "budget_exhausted",
            "the prepaid budget cannot cover the most that this request may cost",
        ),
        Reason::BudgetLow => (
            StatusCode::PAYMENT_REQUIRED,
            "budget_low",
            "the prepaid budget is nearly exhausted, and what is left of it is spent slowly",
        ),
        Reason::BudgetUnreachable => (
            unavailable,
            "budget_unreachable",
            "this router has no tokens of the budget left and cannot reach the budget's ledger",
        ),
        Reason::Overloaded => (
            StatusCode::TOO_MANY_REQUESTS,
            "overloaded",
            "no matching backend server can take the request now, and this router's queue is full or too slow",
        ),
        Reason::NoServer => (unavailable, "no_server", "no matching backend server is live"),
        Reason::StreamOriginUnknown => (
            unavailable,
            "stream_origin_unknown",
            "it is not known which software version began this stream, and several may have",
        ),
        Reason::VersionUnrecorded => (
            unavailable,
            "version_unrecorded",
            "no backend server is live of a software version that is recorded in the platform's store yet",
        ),
        Reason::NoServerOfVersion => (
            unavailable,
            "no_server_of_version",
            "no backend server of the software version that began this answer is live",
        ),
        Reason::DeadlineTooClose => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "the deadline passed before the request could start",
        ),
        Reason::ClaimUnreachable => (
            unavailable,
            "claim_unreachable",
            "it could not be ensured that this request runs at most once",
        ),
        Reason::InProgress => (
            StatusCode::CONFLICT,
            "in_progress",
            "a request with this id is in progress or its outcome is unknown",
        ),
        Reason::IdConflict => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "id_conflict",
            "this id was used for a different request",
        ),
        Reason::Quarantined => (
            unavailable,
            "quarantined",
            "backend servers crashed while they ran this request, so it is not sent to any server for a while",
        ),
        Reason::PartQuarantined => (
            unavailable,
            PART_QUARANTINED,
            "backend servers crashed while they ran requests with a part of this prompt, so no request with \
             that part is sent to any server for a while; prompts without it are served",
        ),
        Reason::Suspended => (
            unavailable,
            "suspended",
            "a backend server has just crashed while it ran this request or one with a part of its prompt: \
             retry in a moment",
        ),
        Reason::Limited => (
            StatusCode::TOO_MANY_REQUESTS,
            "limited",
            "all matching backend servers limit the rate of requests, and none can take this one in time",
        ),
        Reason::Backoff => (
            unavailable,
            "backoff",
            "all matching backend servers rejected requests and requested a backoff that still lasts",
        ),
        Reason::RetriesExhausted => {
            (unavailable, "retries_exhausted", "the backend server failed and no retries are left")
        }
    }
}

/// The value of the field `type` for a status.
fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::FORBIDDEN => "permission_error",
        StatusCode::PAYMENT_REQUIRED => "insufficient_quota",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}

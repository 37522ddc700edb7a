//! Carries one call to a plain service.
//!
//! An unrepeatable call is sent once, on a connection of its own. When its answer does not come, the
//! caller is told that the outcome is unknown, never that it did not run.

use crate::{api_error, control, upstream};
use actix::prelude::Addr;
use actix_web::error::PayloadError;
use actix_web::http::{Method, StatusCode, header};
use actix_web::{HttpResponse, HttpResponseBuilder};
use doorswitch_core::{log_index, node};
use std::time::{Duration, Instant};

/// The largest answer that is recorded for callers that ask again.
const RECORDED_BYTES_MAX: usize = 4 << 10;
/// The largest answer of a plain service.
const ANSWER_BYTES_MAX: usize = 32 << 20;

/// One call on its way.
pub struct Call {
    /// The control thread.
    pub control: Addr<control::Control>,
    /// The client for services.
    pub http: awc::Client,
    /// The method.
    pub method: Method,
    /// The path and query within the service.
    pub path: String,
    /// The media type of the body.
    pub content_type: Option<header::HeaderValue>,
    /// The caller's id for the request.
    pub id: String,
    /// The body.
    pub body: bytes::Bytes,
    /// Whether it must run at most once.
    pub unrepeatable: bool,
    /// What it costs.
    pub call_tokens: u64,
    /// When to give up.
    pub deadline: Instant,
    /// Tells how its runs ended.
    pub reports: upstream::RunReports,
}

enum Try {
    Answered {
        status: StatusCode,
        content_type: String,
        body: bytes::Bytes,
    },
    /// Nothing was sent.
    NotSent,
    /// The server said that it did not run it.
    TurnedAway,
    /// The connection ended on the way.
    BrokenOff,
    Unknown,
}

impl Call {
    /// Runs the call to its end, and settles it.
    pub async fn run(self, placement: upstream::Placement) -> HttpResponse {
        let slot = placement.slot;
        let mut place = placement;
        let mut may_have_run = false;
        loop {
            let tried = self.try_server(&place).await;
            if matches!(tried, Try::BrokenOff) {
                self.reports.broken(&place, &self.id).await;
            }
            let tried = match tried {
                Try::Answered { status, content_type, body } => {
                    if status.is_success() {
                        self.reports.ended_well();
                    }
                    let outcome = self.unrepeatable.then(|| record(status, &content_type, &body));
                    let consumed_tokens = self.call_tokens;
                    let healthy = !status.is_server_error();
                    let ending = node::RequestOutcome::Ran { consumed_tokens, outcome, healthy };
                    upstream::finish(&self.control, slot, ending).await;
                    let mut response = HttpResponseBuilder::new(status);
                    return response.insert_header(("Content-Type", content_type)).body(body);
                }
                Try::NotSent => node::AttemptFailure::NotSent,
                Try::TurnedAway => node::AttemptFailure::Rejected,
                Try::Unknown | Try::BrokenOff if self.unrepeatable => {
                    upstream::finish(&self.control, slot, node::RequestOutcome::Unknown).await;
                    return outcome_unknown().response();
                }
                Try::Unknown | Try::BrokenOff => node::AttemptFailure::MayHaveRun,
            };
            may_have_run |= tried == node::AttemptFailure::MayHaveRun;
            log::info!("event=server_failed vm={} attempt={}", place.vm, place.attempt.0);
            let mut error = match upstream::retry(&self.control, slot, tried).await {
                upstream::Admission::Placed(next) if Instant::now() < self.deadline => {
                    place = next;
                    continue;
                }
                upstream::Admission::Refused(error) => error,
                _ => api_error::ApiError::closing(),
            };
            let ending = match may_have_run {
                true => node::RequestOutcome::Unknown,
                false => node::RequestOutcome::NotRun,
            };
            upstream::finish(&self.control, slot, ending).await;
            if may_have_run {
                error.ran = api_error::Ran::Unknown;
            }
            return error.response();
        }
    }

    async fn try_server(&self, place: &upstream::Placement) -> Try {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let url = format!("http://{}{}", place.address, self.path);
        let mut request = self.http.request(self.method.clone(), url);
        request = request
            .insert_header(("Idempotency-Key", self.id.as_str()))
            .insert_header(("x-attempt-id", place.attempt.0))
            .timeout(left.max(Duration::from_millis(1)));
        if self.unrepeatable {
            // A pooled connection may be closing, which would leave the outcome unknown.
            request = request.force_close();
        }
        if let Some(content_type) = &self.content_type {
            request = request.insert_header((header::CONTENT_TYPE, content_type.clone()));
        }
        let sent = Instant::now();
        let mut response = match request.send_body(self.body.clone()).await {
            Ok(response) => response,
            Err(error) if upstream::not_sent(&error) => return Try::NotSent,
            Err(error) if upstream::broke_off(&error) => return Try::BrokenOff,
            Err(_) => return Try::Unknown,
        };
        let status = response.status();
        self.reports.answered(place, status, response.headers(), sent);
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("");
        let content_type = content_type.to_owned();
        match response.body().limit(ANSWER_BYTES_MAX).await {
            Ok(body) if upstream::says_not_run(status, &body) => Try::TurnedAway,
            Ok(body) => Try::Answered { status, content_type, body },
            Err(PayloadError::Overflow) => Try::Unknown,
            Err(_) => Try::BrokenOff,
        }
    }
}

/// The answer that was recorded when the request ran.
pub fn replay(outcome: Option<log_index::Outcome>) -> HttpResponse {
    let Some(outcome) = outcome else { return outcome_unknown().response() };
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let Some(body) = outcome.body else {
        let message = "it ran and its answer was too large to record";
        let mut error = api_error::ApiError::not_run(StatusCode::CONFLICT, "replayed", message);
        error.ran = api_error::Ran::Ran;
        return error.response();
    };
    HttpResponseBuilder::new(status)
        .insert_header(("Content-Type", outcome.content_type))
        .insert_header(("Doorswitch-Replayed", "true"))
        .body(body)
}

fn record(status: StatusCode, content_type: &str, body: &bytes::Bytes) -> log_index::Outcome {
    let text = std::str::from_utf8(body).ok().filter(|text| text.len() <= RECORDED_BYTES_MAX);
    log_index::Outcome {
        status: status.as_u16(),
        content_type: content_type.to_owned(),
        body: text.map(str::to_owned),
    }
}

fn outcome_unknown() -> api_error::ApiError {
    let message = "the request was sent once and its outcome is unknown; it will not run again";
    let mut error =
        api_error::ApiError::not_run(StatusCode::BAD_GATEWAY, "outcome_unknown", message);
    error.ran = api_error::Ran::Unknown;
    error
}

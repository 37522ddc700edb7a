//! Runs one call to a plain service.
//!
//! An unrepeatable call is sent again only if it certainly did not run, and its connection is closed afterwards. If it
//! was sent and no answer is received, the caller gets the error that the outcome is unknown, never that the call did
//! not run.

use crate::{answer_memory, api_error, control, http_client, upstream};
use actix::prelude::Addr;
use actix_web::body;
use actix_web::error::PayloadError;
use actix_web::http::{Method, StatusCode, header};
use actix_web::{HttpResponse, HttpResponseBuilder};
use doorswitch_core::{log_index, node};
use futures_util::{Stream, StreamExt, stream};
use std::collections;
use std::convert::Infallible;
use std::time::{Duration, Instant};
use tokio::{task, time};

/// The largest answer that is recorded for repeated requests.
const RECORDED_BYTES_MAX: usize = 4 << 10;
/// The largest body that is searched for the statement that a server rejected a call.
const REJECTION_BYTES_MAX: usize = 64 << 10;

/// One admitted call to a plain service.
pub struct Call {
    /// The address of the control thread.
    pub control: Addr<control::Control>,
    /// The HTTP client for services.
    pub http: http_client::ServerClients,
    /// The HTTP method.
    pub method: Method,
    /// The path and query string within the service.
    pub path: String,
    /// The media type of the body.
    pub content_type: Option<header::HeaderValue>,
    /// The caller's id for the request.
    pub id: String,
    /// The whole request body, which each attempt sends.
    pub body: bytes::Bytes,
    /// Whether the call must run at most once.
    pub unrepeatable: bool,
    /// The price of the call in tokens.
    pub call_tokens: u64,
    /// When the call is abandoned.
    pub deadline: Instant,
    /// Reports how the runs of the call ended.
    pub reports: upstream::RunReports,
    /// The memory of answers that are read in full.
    pub answer_memory: answer_memory::AnswerMemory,
}

/// The body of an answer, in pieces.
type Pieces = collections::VecDeque<bytes::Bytes>;

/// Why the body of an answer could not be read in full.
enum Incomplete {
    /// The connection to the server ended before the answer was complete.
    ConnectionLost,
    /// There is no memory for it.
    TooLarge,
}

/// How an attempt at one server ended.
enum AttemptEnd {
    /// The server answered, and its answer was read in full.
    Answered { status: StatusCode, content_type: String, body: Pieces },
    /// Nothing was sent to the server.
    NotSent,
    /// Nothing was sent: neither this router nor another one that it asked reaches the server.
    NoRoute,
    /// The server stated that it did not run the call.
    Rejected,
    /// The connection ended before the answer was complete.
    ConnectionLost,
    /// The call failed in another way and may have run.
    Unknown,
}

impl Call {
    /// Runs the call to its end, settles it and returns the response for the caller.
    pub async fn run(self, placement: upstream::Placement) -> HttpResponse {
        let slot = placement.slot;
        let mut placement = placement;
        let mut may_have_run = false;
        loop {
            let end = self.attempt_server(&placement).await;
            if matches!(end, AttemptEnd::ConnectionLost) {
                self.reports.report_connection_lost(&placement, &self.id).await;
            }
            let failure = match end {
                AttemptEnd::Answered { status, content_type, body } => {
                    if status.is_success() {
                        self.reports.report_success();
                    }
                    let outcome =
                        self.unrepeatable.then(|| recorded_outcome(status, &content_type, &body));
                    let consumed_tokens = self.call_tokens;
                    let healthy = !status.is_server_error();
                    let request_outcome =
                        node::RequestOutcome::Ran { consumed_tokens, outcome, healthy };
                    upstream::finish(&self.control, slot, request_outcome).await;
                    let mut response = HttpResponseBuilder::new(status);
                    response.insert_header(("Content-Type", content_type));
                    let body_bytes = body.iter().map(|piece| piece.len() as u64).sum();
                    let pieces = stream::iter(body.into_iter().map(Ok::<_, Infallible>));
                    return response.body(body::SizedStream::new(body_bytes, pieces));
                }
                AttemptEnd::NotSent => node::AttemptFailure::NotSent,
                AttemptEnd::NoRoute => node::AttemptFailure::NoRoute,
                AttemptEnd::Rejected => node::AttemptFailure::Rejected,
                AttemptEnd::Unknown | AttemptEnd::ConnectionLost if self.unrepeatable => {
                    upstream::finish(&self.control, slot, node::RequestOutcome::Unknown).await;
                    return outcome_unknown().response();
                }
                AttemptEnd::Unknown | AttemptEnd::ConnectionLost => {
                    node::AttemptFailure::MayHaveRun
                }
            };
            may_have_run |= failure == node::AttemptFailure::MayHaveRun;
            log::info!("event=server_failed vm={} attempt={}", placement.vm, placement.attempt.0);
            let mut error = match upstream::retry(&self.control, slot, failure).await {
                upstream::Admission::Placed(next) if Instant::now() < self.deadline => {
                    placement = next;
                    continue;
                }
                upstream::Admission::Refused(error) => error,
                _ => api_error::ApiError::closing(),
            };
            let request_outcome = match may_have_run {
                true => node::RequestOutcome::Unknown,
                false => node::RequestOutcome::NotRun,
            };
            upstream::finish(&self.control, slot, request_outcome).await;
            if may_have_run {
                error.execution = api_error::Execution::Unknown;
            }
            return error.response();
        }
    }

    /// Makes one attempt at the server.
    async fn attempt_server(&self, placement: &upstream::Placement) -> AttemptEnd {
        let left = self.deadline.saturating_duration_since(Instant::now());
        // On a pooled connection, which the server may be closing, the outcome could remain unknown.
        let may_share = !self.unrepeatable;
        let method = self.method.clone();
        let http_client::Started { mut request, shared } =
            self.http.start(&placement.address, method, &self.path, may_share);
        request = request
            .insert_header(("Idempotency-Key", self.id.as_str()))
            .insert_header((upstream::ATTEMPT_ID, placement.attempt.0))
            .timeout(left.max(Duration::from_millis(1)));
        if let Some(content_type) = &self.content_type {
            request = request.insert_header((header::CONTENT_TYPE, content_type.clone()));
        }
        let sent = Instant::now();
        let mut response = match request.send_body(self.body.clone()).await {
            Ok(response) => response,
            Err(error) if upstream::is_no_route(&error) => return AttemptEnd::NoRoute,
            Err(error) if upstream::is_not_sent(&error) => return AttemptEnd::NotSent,
            Err(error) if upstream::is_connection_lost(&error) => {
                return AttemptEnd::ConnectionLost;
            }
            Err(_) => return AttemptEnd::Unknown,
        };
        let status = response.status();
        if !upstream::answers_call(&self.http, placement, response.headers(), shared) {
            return AttemptEnd::Unknown;
        }
        self.reports.report_answer(placement, status, response.headers(), sent);
        if !has_framing(status, response.headers()) {
            log::info!("event=answer_without_length id={} vm={}", self.id, placement.vm);
            return AttemptEnd::Unknown;
        }
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or("");
        let content_type = content_type.to_owned();
        // The timeout of the request ends with the head of the answer.
        let deadline = time::Instant::from_std(self.deadline);
        match time::timeout_at(deadline, self.read_body(&mut response)).await {
            Ok(Ok(body)) if is_rejection(status, &body) => AttemptEnd::Rejected,
            Ok(Ok(body)) => AttemptEnd::Answered { status, content_type, body },
            Ok(Err(Incomplete::ConnectionLost)) => AttemptEnd::ConnectionLost,
            Ok(Err(Incomplete::TooLarge)) | Err(_) => AttemptEnd::Unknown,
        }
    }

    async fn read_body(
        &self,
        chunks: &mut (impl Stream<Item = Result<bytes::Bytes, PayloadError>> + Unpin),
    ) -> Result<Pieces, Incomplete> {
        let mut buffer = self.answer_memory.buffer();
        while let Some(chunk) = chunks.next().await {
            let chunk = chunk.map_err(|_| Incomplete::ConnectionLost)?;
            buffer.push(&chunk).map_err(|_| Incomplete::TooLarge)?;
            // Many small chunks that have arrived would delay the other calls of the thread.
            task::consume_budget().await;
        }
        Ok(buffer.finish())
    }
}

/// Whether the end of an answer's body is told by its head. `awc` does not read a body that ends with its connection, and
/// takes it for empty.
fn has_framing(status: StatusCode, headers: &header::HeaderMap) -> bool {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_no_body
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Whether a server's answer states that it rejected the call.
fn is_rejection(status: StatusCode, body: &Pieces) -> bool {
    small_body(body, REJECTION_BYTES_MAX).is_some_and(|body| upstream::is_rejection(status, &body))
}

/// A body in one piece; `None` if it has more than `bytes_max`.
fn small_body(body: &Pieces, bytes_max: usize) -> Option<Vec<u8>> {
    let pieces: Vec<&[u8]> = body.iter().map(AsRef::as_ref).collect();
    let small = pieces.iter().map(|piece| piece.len()).sum::<usize>() <= bytes_max;
    small.then(|| pieces.concat())
}

/// Builds the response for a repeated request from the outcome that was recorded when the request ran.
pub fn replay(outcome: Option<log_index::Outcome>) -> HttpResponse {
    let Some(outcome) = outcome else { return outcome_unknown().response() };
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let Some(body) = outcome.body else {
        let message = "the request ran, and its answer was too large to be recorded";
        let mut error = api_error::ApiError::not_run(StatusCode::CONFLICT, "replayed", message);
        error.execution = api_error::Execution::Ran;
        return error.response();
    };
    HttpResponseBuilder::new(status)
        .insert_header(("Content-Type", outcome.content_type))
        .insert_header(("Doorswitch-Replayed", "true"))
        .body(body)
}

fn recorded_outcome(status: StatusCode, content_type: &str, body: &Pieces) -> log_index::Outcome {
    let text = small_body(body, RECORDED_BYTES_MAX).and_then(|body| String::from_utf8(body).ok());
    log_index::Outcome {
        status: status.as_u16(),
        content_type: content_type.to_owned(),
        body: text,
    }
}

fn outcome_unknown() -> api_error::ApiError {
    let message = "the request was sent once and its outcome is unknown; it will not run again";
    let mut error =
        api_error::ApiError::not_run(StatusCode::BAD_GATEWAY, "outcome_unknown", message);
    error.execution = api_error::Execution::Unknown;
    error
}

//! Runs one model request: sends it to an engine, forwards the engine's stream, and resumes at another engine if the
//! first one fails.
//!
//! Requests to engines are always for a stream, so that the router can count the tokens that the caller has received and
//! resume after them. The caller gets one complete answer without repeated tokens.

use crate::{answers, api_error, completion, control, events, http_client, logging, upstream};
use actix::prelude::Addr;
use actix_web::error::PayloadError;
use actix_web::http::{Method, StatusCode};
use bytes::Bytes;
use doorswitch_core::{ids, node};
use eventsource_stream::{EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use std::future;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task;

/// The largest body of an engine's error that is read.
const ERROR_BYTES_MAX: usize = 64 << 10;

/// The largest event of an engine, which contains a token or a few with their probabilities.
const EVENT_BYTES_MAX: usize = 256 << 10;
/// The largest text of an answer: 256 Ki tokens of four bytes.
const TEXT_BYTES_MAX: usize = 1 << 20;

/// A piece of the answer for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Text, with the finish reason if this is the last text of the answer.
    Text(String, Option<String>),
    /// The end of the answer: all text was sent before, and the request is settled.
    End(completion::Usage),
}

/// Why there is no complete answer.
#[derive(Debug)]
pub struct Failure {
    /// The error for the caller.
    pub error: api_error::ApiError,
}

/// One admitted model request.
pub struct Call {
    /// The address of the control thread.
    pub control: Addr<control::Control>,
    /// The HTTP client for engines.
    pub http: http_client::ServerClients,
    /// The request as the caller sent it.
    pub request: completion::Request,
    /// The largest number of tokens in the answer.
    pub answer_tokens: u64,
    /// The priority that is sent to the engine.
    pub priority: u8,
    /// When the request is abandoned.
    pub deadline: Instant,
    /// Reports how the runs of the request ended.
    pub reports: upstream::RunReports,
    /// The id of the answer, as the caller receives it.
    pub id: String,
    /// When the answer started, in Unix seconds.
    pub created_s: u64,
    /// The entry of this request in the answer table, in which the answer is recorded for repeated requests.
    pub table_entry: answers::RunningEntry,
}

/// How an attempt at one engine ended.
enum AttemptEnd {
    /// The answer is complete.
    Complete,
    /// The caller closed its connection.
    CallerLeft,
    /// The deadline has passed.
    DeadlineExceeded,
    /// Nothing was sent to the engine.
    NotSent,
    /// Nothing was sent: neither this router nor another one that it asked reaches the engine.
    NoRoute,
    /// The engine stated that it did not run the request.
    NotRun,
    /// The engine answered with an error or an unreadable event.
    Failed,
    /// The connection to the engine ended before the answer was complete.
    ConnectionLost,
    /// The text of the answer is larger than any answer of an engine.
    TooLarge,
    /// The engine answered that the request is invalid.
    Invalid(StatusCode, String),
}

/// What of the answer has been received so far, over all attempts.
#[derive(Debug, Default)]
struct Progress {
    delivered_tokens: u64,
    prompt_tokens: u64,
    may_have_run: bool,
    /// Whether the present attempt may have been sent.
    attempt_sent: bool,
    text: String,
    finish_reason: String,
}

impl Progress {
    fn usage(&self) -> completion::Usage {
        completion::Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.delivered_tokens,
        }
    }

    fn consumed_tokens(&self) -> u64 {
        self.prompt_tokens + self.delivered_tokens
    }
}

impl Call {
    /// Runs the request to its end and settles it. Pieces of the answer are sent to `pieces` as they arrive.
    pub async fn run(
        self,
        placement: upstream::Placement,
        pieces: mpsc::Sender<Piece>,
    ) -> Result<(), Failure> {
        let slot = placement.slot;
        let mut placement = placement;
        let mut progress = Progress::default();
        loop {
            let end = self.attempt_engine(&placement, &mut progress, &pieces).await;
            let failure = match end {
                AttemptEnd::Complete => {
                    self.reports.report_success();
                    self.settle(slot, &progress, true).await;
                    let usage = progress.usage();
                    self.table_entry.record(answers::RecordedAnswer {
                        id: self.id,
                        created_s: self.created_s,
                        text: progress.text,
                        finish_reason: progress.finish_reason,
                        usage,
                    });
                    let _ = pieces.send(Piece::End(usage)).await;
                    return Ok(());
                }
                AttemptEnd::CallerLeft => {
                    self.settle(slot, &progress, true).await;
                    return Ok(());
                }
                AttemptEnd::DeadlineExceeded => {
                    progress.may_have_run |= progress.attempt_sent;
                    return self.fail(slot, &progress, deadline_error()).await;
                }
                AttemptEnd::TooLarge => {
                    log::warn!("event=text_too_large id={} vm={}", self.id, placement.vm);
                    return self.fail(slot, &progress, too_large_error()).await;
                }
                AttemptEnd::Invalid(status, message) => {
                    // An earlier attempt may have run.
                    return self.fail(slot, &progress, engine_rejection(status, message)).await;
                }
                AttemptEnd::Failed => node::AttemptFailure::MayHaveRun,
                AttemptEnd::ConnectionLost => {
                    self.reports.report_connection_lost(&placement, &self.id).await;
                    node::AttemptFailure::MayHaveRun
                }
                AttemptEnd::NotRun => node::AttemptFailure::Rejected,
                AttemptEnd::NotSent => node::AttemptFailure::NotSent,
                AttemptEnd::NoRoute => node::AttemptFailure::NoRoute,
            };
            progress.may_have_run |= failure == node::AttemptFailure::MayHaveRun;
            log::info!(
                "event=engine_failed vm={} version={} attempt={} delivered_tokens={}",
                placement.vm,
                logging::quoted(&placement.version),
                placement.attempt.0,
                progress.delivered_tokens
            );
            match upstream::retry(&self.control, slot, failure).await {
                upstream::Admission::Placed(next) => placement = next,
                upstream::Admission::Refused(error) => {
                    return self.fail(slot, &progress, error).await;
                }
                upstream::Admission::Replay(_) => {
                    return self.fail(slot, &progress, api_error::ApiError::closing()).await;
                }
            }
        }
    }

    /// Makes one attempt at the engine, until it ends, the caller leaves or the deadline passes.
    async fn attempt_engine(
        &self,
        placement: &upstream::Placement,
        progress: &mut Progress,
        pieces: &mpsc::Sender<Piece>,
    ) -> AttemptEnd {
        let left = self.deadline.saturating_duration_since(Instant::now());
        progress.attempt_sent = false;
        let streaming = self.stream_from(placement, progress, pieces);
        tokio::select! {
            end = streaming => end,
            () = pieces.closed() => AttemptEnd::CallerLeft,
            () = tokio::time::sleep(left) => AttemptEnd::DeadlineExceeded,
        }
    }

    /// Sends the request to an engine and forwards its stream.
    async fn stream_from(
        &self,
        placement: &upstream::Placement,
        progress: &mut Progress,
        pieces: &mpsc::Sender<Piece>,
    ) -> AttemptEnd {
        let resume_from = progress.delivered_tokens;
        let body = self.request.upstream_body(self.answer_tokens, self.priority, resume_from);
        let path = self.request.endpoint.path();
        let http_client::Started { request, shared } =
            self.http.start(&placement.address, Method::POST, path, true);
        let request = request.insert_header((upstream::ATTEMPT_ID, placement.attempt.0));
        let sent = Instant::now();
        progress.attempt_sent = true;
        let mut response = match request.send_json(&body).await {
            Ok(response) => response,
            Err(error) if upstream::is_no_route(&error) => return AttemptEnd::NoRoute,
            Err(error) if upstream::is_not_sent(&error) => return AttemptEnd::NotSent,
            Err(error) if upstream::is_connection_lost(&error) => {
                return AttemptEnd::ConnectionLost;
            }
            Err(_) => return AttemptEnd::Failed,
        };
        let status = response.status();
        if !upstream::answers_call(&self.http, placement, response.headers(), shared) {
            return AttemptEnd::Failed;
        }
        self.reports.report_answer(placement, status, response.headers(), sent);
        if !status.is_success() {
            let body = response.body().limit(ERROR_BYTES_MAX).await.unwrap_or_default();
            return error_status_end(status, &body);
        }
        progress.may_have_run = true;
        let mut events = std::pin::pin!(complete_events(response).eventsource());
        while let Some(event) = events.next().await {
            let event = match event {
                Ok(event) => event,
                Err(EventStreamError::Transport(ReadError::Events { source })) => {
                    log::warn!(
                        "event=event_too_large id={} vm={}: {source}",
                        self.id,
                        placement.vm
                    );
                    return AttemptEnd::Failed;
                }
                Err(_) => return AttemptEnd::ConnectionLost,
            };
            // Many small events that have arrived would delay the other requests of the thread.
            task::consume_budget().await;
            if event.data == "[DONE]" {
                return AttemptEnd::Complete;
            }
            let Ok(chunk) = serde_json::from_str(&event.data) else { return AttemptEnd::Failed };
            match self.deliver(placement.slot, &chunk, progress, pieces).await {
                None => {}
                Some(end) => return end,
            }
        }
        AttemptEnd::ConnectionLost
    }

    /// Forwards a chunk to the caller; returns how the attempt ended if it ends with this chunk.
    async fn deliver(
        &self,
        slot: ids::RequestSlot,
        chunk: &completion::Chunk,
        progress: &mut Progress,
        pieces: &mpsc::Sender<Piece>,
    ) -> Option<AttemptEnd> {
        let text = chunk.text();
        let finish_reason = chunk.finish_reason().map(str::to_owned);
        if !text.is_empty() {
            if progress.delivered_tokens == 0 {
                self.control.do_send(control::AnswerStarted(slot));
            }
            progress.delivered_tokens += 1;
        }
        if let Some(usage) = chunk.usage {
            progress.prompt_tokens = usage.prompt_tokens;
            progress.delivered_tokens = progress.delivered_tokens.max(usage.completion_tokens);
        }
        if text.is_empty() && finish_reason.is_none() {
            return None;
        }
        let last = finish_reason.is_some() || progress.delivered_tokens >= self.answer_tokens;
        let finish_reason = finish_reason.or(last.then(|| "length".to_owned()));
        if progress.text.len() + text.len() > TEXT_BYTES_MAX {
            return Some(AttemptEnd::TooLarge);
        }
        progress.text.push_str(&text);
        if let Some(reason) = &finish_reason {
            progress.finish_reason.clone_from(reason);
        }
        let piece = Piece::Text(text, finish_reason);
        if pieces.send(piece).await.is_err() {
            return Some(AttemptEnd::CallerLeft);
        }
        last.then_some(AttemptEnd::Complete)
    }

    /// Settles a request that ran, for the tokens that were consumed.
    async fn settle(&self, slot: ids::RequestSlot, progress: &Progress, healthy: bool) {
        let outcome = node::RequestOutcome::Ran {
            consumed_tokens: progress.consumed_tokens(),
            outcome: None,
            healthy,
        };
        upstream::finish(&self.control, slot, outcome).await;
    }

    /// Settles a request without a complete answer and returns the error for its caller.
    async fn fail(
        &self,
        slot: ids::RequestSlot,
        progress: &Progress,
        mut error: api_error::ApiError,
    ) -> Result<(), Failure> {
        if !progress.may_have_run {
            upstream::finish(&self.control, slot, node::RequestOutcome::NotRun).await;
            return Err(Failure { error });
        }
        self.settle(slot, progress, false).await;
        let delivered = progress.delivered_tokens > 0;
        error.execution =
            if delivered { api_error::Execution::Ran } else { api_error::Execution::Unknown };
        Err(Failure { error })
    }
}

/// When a request is abandoned: after the service's answer time or the caller's deadline, whichever is shorter.
pub fn deadline(answer_time_ms: u64, caller_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(answer_time_ms.min(caller_ms))
}

/// How an attempt ended that was answered with an error status.
fn error_status_end(status: StatusCode, body: &[u8]) -> AttemptEnd {
    if upstream::is_rejection(status, body) {
        return AttemptEnd::NotRun;
    }
    let is_invalid = status.is_client_error()
        && !matches!(
            status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
        );
    if is_invalid {
        return AttemptEnd::Invalid(status, String::from_utf8_lossy(body).into_owned());
    }
    AttemptEnd::Failed
}

fn engine_rejection(status: StatusCode, message: String) -> api_error::ApiError {
    api_error::ApiError::not_run(status, "engine_rejected", message)
}

/// Why no more events can be read.
#[derive(Debug, snafu::Snafu)]
enum ReadError {
    #[snafu(display("the answer is incomplete: {source}"), context(false))]
    Connection { source: PayloadError },
    #[snafu(display("{source}"), context(false))]
    Events { source: events::Error },
}

/// The complete events of an answer, as the engine sent them. None is larger than [`EVENT_BYTES_MAX`], and each part of
/// a large one is searched once.
fn complete_events(
    chunks: impl Stream<Item = Result<Bytes, PayloadError>>,
) -> impl Stream<Item = Result<Bytes, ReadError>> {
    let mut splitter = events::Splitter::new(EVENT_BYTES_MAX);
    chunks.filter_map(move |chunk| {
        let batch = chunk.map_err(ReadError::from).and_then(|chunk| Ok(splitter.push(&chunk)?));
        future::ready(batch.map(|batch| batch.map(|batch| batch.bytes)).transpose())
    })
}

fn too_large_error() -> api_error::ApiError {
    let message = format!("the answer of the engine has more than {TEXT_BYTES_MAX} bytes of text");
    api_error::ApiError::not_run(StatusCode::BAD_GATEWAY, "answer_too_large", message)
}

fn deadline_error() -> api_error::ApiError {
    let message = "the answer was not complete before the deadline";
    api_error::ApiError::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline", message)
}

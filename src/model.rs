//! Carries one model request: to an engine, through its stream, and on to another engine if the
//! first one dies.
//!
//! Engines are always asked for a stream, so that the router knows which tokens the caller has and
//! can go on elsewhere from there. The caller gets one whole answer, no token twice.

use crate::{answers, api_error, completion, control, upstream};
use actix::prelude::Addr;
use actix_web::http::StatusCode;
use doorswitch_core::node;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The largest error body that is read from an engine.
const ERROR_BYTES_MAX: usize = 64 << 10;

/// A piece of the answer, on its way to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Text, with the reason why the answer ended if this is its last piece.
    Text(String, Option<String>),
    /// The whole answer was given and its settlement is safe.
    End(completion::Usage),
}

/// What was given when an answer failed.
#[derive(Debug)]
pub struct Failure {
    /// What to tell the caller.
    pub error: api_error::ApiError,
}

/// One model request on its way.
pub struct Call {
    /// The control thread.
    pub control: Addr<control::Control>,
    /// The client for engines.
    pub http: awc::Client,
    /// The caller's request.
    pub request: completion::Request,
    /// The answer's limit.
    pub answer_tokens: u64,
    /// Its priority.
    pub priority: u8,
    /// When to give up.
    pub deadline: Instant,
    /// Tells how its runs ended.
    pub reports: upstream::RunReports,
    /// The answer's id towards the caller.
    pub id: String,
    /// When the answer began, in Unix seconds.
    pub created_s: u64,
    /// Its place among the answers, for callers that ask again.
    pub place: answers::Place,
}

/// How one try at one engine ended.
enum Try {
    /// The answer is whole.
    Whole,
    /// The caller left.
    CallerGone,
    /// The time is up.
    TooLate,
    /// Nothing was sent.
    NotSent,
    /// The engine did not start.
    NotRun,
    /// The engine failed on the way.
    Broken,
    /// The connection to the engine ended on the way.
    BrokenOff,
    /// The engine refused the request as wrong.
    Rejected(StatusCode, String),
}

#[derive(Debug, Default)]
struct Progress {
    delivered_tokens: u64,
    prompt_tokens: u64,
    may_have_run: bool,
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
    /// Runs the request to its end, and settles it. Pieces go out as they come.
    pub async fn run(
        self,
        placement: upstream::Placement,
        pieces: mpsc::Sender<Piece>,
    ) -> Result<(), Failure> {
        let slot = placement.slot;
        let mut place = placement;
        let mut progress = Progress::default();
        loop {
            let ended = self.try_engine(&place, &mut progress, &pieces).await;
            let tried = match ended {
                Try::Whole => {
                    self.reports.ended_well();
                    self.settle(slot, &progress, true).await;
                    let usage = progress.usage();
                    self.place.record(answers::Recorded {
                        id: self.id,
                        created_s: self.created_s,
                        text: progress.text,
                        finish_reason: progress.finish_reason,
                        usage,
                    });
                    let _ = pieces.send(Piece::End(usage)).await;
                    return Ok(());
                }
                Try::CallerGone => {
                    self.settle(slot, &progress, true).await;
                    return Ok(());
                }
                Try::TooLate => return self.fail(slot, &progress, deadline_error()).await,
                Try::Rejected(status, message) => {
                    let error = rejection(status, message);
                    upstream::finish(&self.control, slot, node::RequestOutcome::NotRun).await;
                    return Err(Failure { error });
                }
                Try::Broken => node::AttemptFailure::MayHaveRun,
                Try::BrokenOff => {
                    self.reports.broken(&place, &self.id).await;
                    node::AttemptFailure::MayHaveRun
                }
                Try::NotRun => node::AttemptFailure::Rejected,
                Try::NotSent => node::AttemptFailure::NotSent,
            };
            progress.may_have_run |= tried == node::AttemptFailure::MayHaveRun;
            log::info!(
                "event=engine_failed vm={} attempt={} delivered_tokens={}",
                place.vm,
                place.attempt.0,
                progress.delivered_tokens
            );
            match upstream::retry(&self.control, slot, tried).await {
                upstream::Admission::Placed(next) => place = next,
                upstream::Admission::Refused(error) => {
                    return self.fail(slot, &progress, error).await;
                }
                upstream::Admission::Replay(_) => {
                    return self.fail(slot, &progress, api_error::ApiError::closing()).await;
                }
            }
        }
    }

    async fn try_engine(
        &self,
        place: &upstream::Placement,
        progress: &mut Progress,
        pieces: &mpsc::Sender<Piece>,
    ) -> Try {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let work = self.stream_from(place, progress, pieces);
        tokio::select! {
            ended = work => ended,
            () = pieces.closed() => Try::CallerGone,
            () = tokio::time::sleep(left) => Try::TooLate,
        }
    }

    async fn stream_from(
        &self,
        place: &upstream::Placement,
        progress: &mut Progress,
        pieces: &mpsc::Sender<Piece>,
    ) -> Try {
        let resume_from = progress.delivered_tokens;
        let body = self.request.upstream_body(self.answer_tokens, self.priority, resume_from);
        let url = format!("http://{}{}", place.address, self.request.endpoint.path());
        let request = self.http.post(url).insert_header(("x-attempt-id", place.attempt.0));
        let sent = Instant::now();
        let mut response = match request.send_json(&body).await {
            Ok(response) => response,
            Err(error) if upstream::not_sent(&error) => return Try::NotSent,
            Err(error) if upstream::broke_off(&error) => return Try::BrokenOff,
            Err(_) => return Try::Broken,
        };
        let status = response.status();
        self.reports.answered(place, status, response.headers(), sent);
        if !status.is_success() {
            let body = response.body().limit(ERROR_BYTES_MAX).await.unwrap_or_default();
            return failed_status(status, &body);
        }
        progress.may_have_run = true;
        let mut events = response.eventsource();
        while let Some(event) = events.next().await {
            let Ok(event) = event else { return Try::BrokenOff };
            if event.data == "[DONE]" {
                return Try::Whole;
            }
            let Ok(chunk) = serde_json::from_str(&event.data) else { return Try::Broken };
            match self.deliver(&chunk, progress, pieces).await {
                None => {}
                Some(ended) => return ended,
            }
        }
        Try::BrokenOff
    }

    /// Passes a chunk on; returns how the try ended, if it did.
    async fn deliver(
        &self,
        chunk: &completion::Chunk,
        progress: &mut Progress,
        pieces: &mpsc::Sender<Piece>,
    ) -> Option<Try> {
        let text = chunk.text();
        let finish_reason = chunk.finish_reason().map(str::to_owned);
        if !text.is_empty() {
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
        progress.text.push_str(&text);
        if let Some(reason) = &finish_reason {
            progress.finish_reason.clone_from(reason);
        }
        let piece = Piece::Text(text, finish_reason);
        if pieces.send(piece).await.is_err() {
            return Some(Try::CallerGone);
        }
        last.then_some(Try::Whole)
    }

    async fn settle(
        &self,
        slot: doorswitch_core::ids::RequestSlot,
        progress: &Progress,
        healthy: bool,
    ) {
        let ending = node::RequestOutcome::Ran {
            consumed_tokens: progress.consumed_tokens(),
            outcome: None,
            healthy,
        };
        upstream::finish(&self.control, slot, ending).await;
    }

    async fn fail(
        &self,
        slot: doorswitch_core::ids::RequestSlot,
        progress: &Progress,
        mut error: api_error::ApiError,
    ) -> Result<(), Failure> {
        if !progress.may_have_run {
            upstream::finish(&self.control, slot, node::RequestOutcome::NotRun).await;
            return Err(Failure { error });
        }
        self.settle(slot, progress, false).await;
        let delivered = progress.delivered_tokens > 0;
        error.ran = if delivered { api_error::Ran::Ran } else { api_error::Ran::Unknown };
        Err(Failure { error })
    }
}

/// The time that one engine may take, within the caller's.
pub fn deadline(answer_time_ms: u64, caller_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(answer_time_ms.min(caller_ms))
}

fn failed_status(status: StatusCode, body: &[u8]) -> Try {
    if upstream::says_not_run(status, body) {
        return Try::NotRun;
    }
    if status.is_client_error() {
        return Try::Rejected(status, String::from_utf8_lossy(body).into_owned());
    }
    Try::Broken
}

fn rejection(status: StatusCode, message: String) -> api_error::ApiError {
    api_error::ApiError::not_run(status, "engine_rejected", message)
}

fn deadline_error() -> api_error::ApiError {
    let message = "the answer was not complete in time";
    api_error::ApiError::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline", message)
}

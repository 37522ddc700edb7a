//! Runs one call: has it admitted, and sends it to servers until one answers.
//!
//! A call that has begun goes on when its client leaves. So a decision of the control thread is never lost with the connection of the
//! client, and what the server may have made by then is charged.

use super::{
    abandoned, attempt, backends, body, clients, exchange, listener, outliving, refusal, socket,
    streaming, ticket,
};
use crate::{api_error, events, logging, snapshot, timer, upstream};
use doorswitch_core::{node, routes};
use http::header;
use http_body_util::BodyExt;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time;
use tokio_util::sync;

type Error = api_error::ApiError;

/// The time within which an answer is read that arrives as a whole after its client has left.
const LEFT_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// The media type of events.
const EVENT_STREAM: &str = "text/event-stream";

/// A call that is to be admitted and sent.
pub struct Dispatch {
    /// The gateway that serves the client.
    pub gateway: Rc<listener::Gateway>,
    /// The client's request.
    pub call: attempt::Call,
    /// What the call may cost.
    pub cost: ticket::Cost,
    /// The fields of the log lines on its admission.
    pub log_fields: String,
    /// The version of the configuration that applies to it.
    pub config_version: u64,
    /// When the request arrived.
    pub started: Instant,
    /// The connection of its client.
    pub connection: socket::PeerWatch,
    /// Counts the answer as open until it is dropped.
    pub open_answer: snapshot::OpenAnswer,
}

/// An admitted call.
struct Admitted {
    gateway: Rc<listener::Gateway>,
    call: attempt::Call,
    ticket: ticket::Ticket,
    open_answer: snapshot::OpenAnswer,
    client: clients::Client,
    may_have_run: bool,
}

/// Why an answer could not be read in full.
enum Incomplete {
    /// The connection to the server ended before the answer was complete.
    ConnectionLost,
    /// There is no memory for it.
    TooLarge,
}

impl Dispatch {
    /// Runs the call and returns the response. If the returned future is dropped, the client has left.
    pub async fn start(
        self,
        admission_request: node::AdmissionRequest,
    ) -> Result<backends::Response, Error> {
        let client_left = sync::CancellationToken::new();
        let client =
            clients::Client::new(client_left.clone(), self.connection.clone(), self.started);
        if client.has_left() {
            return Err(refusal::outcome_unknown());
        }
        outliving::Outliving::new(self.run(admission_request, client), client_left).await
    }

    async fn run(
        self,
        admission_request: node::AdmissionRequest,
        client: clients::Client,
    ) -> Result<backends::Response, Error> {
        let admitting =
            upstream::admit_unless_left(&self.gateway.control, admission_request, client.left());
        let id = &self.call.parameters.id;
        let log_fields = &self.log_fields;
        let placement = match admitting.await {
            upstream::Admission::Placed(placement) => placement,
            upstream::Admission::Refused(error) => {
                log::info!(
                    "event=refused id={id} {log_fields} code={}{} waited_ms={}",
                    error.code,
                    self.call.parts_field(&error),
                    self.started.elapsed().as_millis()
                );
                return Err(error);
            }
            upstream::Admission::Replay(_) => return Err(refusal::outcome_unknown()),
        };
        log::info!(
            "event=placed id={id} {log_fields} vm={} version={} unread_tokens={} config_version={} attempt=1",
            placement.vm,
            logging::quoted(&placement.version),
            placement.unread_tokens,
            self.config_version,
        );
        let control = self.gateway.control.clone();
        let ticket = ticket::Ticket::new(control, placement.slot, self.cost, id.clone());
        let Self { gateway, call, open_answer, .. } = self;
        let may_have_run = false;
        let admitted = Admitted { gateway, call, ticket, open_answer, client, may_have_run };
        admitted.send(placement).await
    }
}

impl Admitted {
    /// Sends an admitted call to servers in turn until one answers or no further attempt is allowed.
    async fn send(
        mut self,
        mut placement: upstream::Placement,
    ) -> Result<backends::Response, Error> {
        let deadline = time::Instant::from_std(self.call.deadline);
        let repeatable = self.call.route.repeatable();
        let mut error_answer = None;
        let mut early_retry_at = early_retry_time(&self.call);
        loop {
            let sent = Cell::new(false);
            let (context, position) = (self.gateway.attempts(), Default::default());
            let sending =
                attempt::send(context, &self.call, &placement, position, &sent, &self.client);
            let outcome = timer::timeout_at(early_retry_at.unwrap_or(deadline), sending).await;
            log_outcome(&self.call, &placement, &outcome);
            if self.client.has_left() {
                self.end_without_client(placement, outcome).await;
                return Err(refusal::outcome_unknown());
            }
            let failure = match outcome {
                Err(_) if early_retry_at.is_some() => {
                    early_retry_at = None;
                    match sent.get() {
                        true => node::AttemptFailure::MayHaveRun,
                        false => node::AttemptFailure::NotSent,
                    }
                }
                Err(_) if !self.may_have_run && !sent.get() => {
                    self.ticket.finish_not_run();
                    return Err(refusal::not_sent_in_time());
                }
                Err(_) => {
                    self.ticket.finish_unknown();
                    return Err(refusal::deadline_exceeded());
                }
                Ok(attempt::Outcome::Answered { answer, connection }) => {
                    if self.call.is_streamed(&answer) {
                        return Ok(self.stream(placement, connection).start(*answer));
                    }
                    let server_error = answer.status().is_server_error();
                    let reading = read_answer(&self.gateway, &placement, *answer, connection);
                    let read = tokio::select! {
                        biased;
                        read = timer::timeout_at(deadline, reading) => Some(read),
                        // Closes the connection, so that the server stops.
                        () = self.client.left() => None,
                    };
                    let Some(read) = read else {
                        self.may_have_run = true;
                        break;
                    };
                    match read {
                        Err(_) => {
                            self.ticket.finish_unknown();
                            return Err(refusal::deadline_exceeded());
                        }
                        Ok(Ok(response)) if server_error && repeatable => {
                            error_answer = Some(response)
                        }
                        Ok(Ok(response)) => {
                            if response.status().is_success() {
                                self.gateway.report_success(&self.call);
                            }
                            self.charge_whole(&response);
                            self.ticket.finish_ran(!server_error);
                            return Ok(response);
                        }
                        Ok(Err(Incomplete::ConnectionLost)) => {
                            self.gateway.report_connection_lost(&self.call, &placement).await
                        }
                        Ok(Err(Incomplete::TooLarge)) => {}
                    }
                    node::AttemptFailure::MayHaveRun
                }
                Ok(attempt::Outcome::ConnectionLost) => {
                    self.gateway.report_connection_lost(&self.call, &placement).await;
                    node::AttemptFailure::MayHaveRun
                }
                Ok(
                    attempt::Outcome::Unknown
                    | attempt::Outcome::EndedWithClient
                    | attempt::Outcome::SilentSinceClientLeft { .. },
                ) => node::AttemptFailure::MayHaveRun,
                Ok(attempt::Outcome::Rejected(_)) => node::AttemptFailure::Rejected,
                Ok(attempt::Outcome::NotSent) => node::AttemptFailure::NotSent,
                Ok(attempt::Outcome::NoRoute) => node::AttemptFailure::NoRoute,
            };
            self.may_have_run |= failure == node::AttemptFailure::MayHaveRun;
            if self.may_have_run && !repeatable || self.client.has_left() {
                break;
            }
            if Instant::now() >= self.call.deadline {
                return self.end_late(error_answer);
            }
            match self.ticket.retry(failure).await {
                upstream::Admission::Placed(next) => {
                    let id = &self.call.parameters.id;
                    log::info!(
                        "event=placed_again id={id} vm={} version={} after={}",
                        next.vm,
                        logging::quoted(&next.version),
                        placement.vm
                    );
                    placement = next;
                }
                refused => {
                    if let upstream::Admission::Refused(error) = &refused {
                        log::info!(
                            "event=retry_refused id={} code={}{}",
                            self.call.parameters.id,
                            error.code,
                            self.call.parts_field(error)
                        );
                    }
                    return final_response(self.ticket, error_answer, self.may_have_run, refused);
                }
            }
        }
        match self.may_have_run {
            true => self.ticket.finish_unknown(),
            false => self.ticket.finish_not_run(),
        }
        Err(refusal::outcome_unknown())
    }

    /// The response when the deadline has passed between two attempts.
    fn end_late(
        self,
        error_answer: Option<backends::Response>,
    ) -> Result<backends::Response, Error> {
        if error_answer.is_none() && self.may_have_run {
            self.ticket.finish_unknown();
            return Err(refusal::deadline_exceeded());
        }
        let refused = upstream::Admission::Refused(refusal::not_sent_in_time());
        final_response(self.ticket, error_answer, self.may_have_run, refused)
    }

    /// Charges the tokens of a model server's answer that arrived as a whole: those of its events, or the most if nothing
    /// in it tells how many it has.
    fn charge_whole(&mut self, response: &backends::Response) {
        if !response.status().is_success() || self.call.shows_tokens() {
            return;
        }
        let cost = &mut self.ticket.cost;
        cost.answer_tokens = match count_events(response) {
            Some(count) => count.saturating_mul(self.call.engine.event_tokens),
            None => cost.bound_tokens,
        };
    }

    fn stream(
        self,
        placement: upstream::Placement,
        connection: backends::Connection,
    ) -> streaming::Stream {
        streaming::Stream {
            gateway: self.gateway,
            call: self.call,
            ticket: self.ticket,
            placement,
            connection,
            _open_answer: self.open_answer,
        }
    }

    /// Ends a call whose client left while it was being sent, and charges what its server may have made.
    async fn end_without_client(
        mut self,
        placement: upstream::Placement,
        outcome: Result<attempt::Outcome, time::error::Elapsed>,
    ) {
        use attempt::Outcome;
        match outcome {
            Ok(Outcome::Answered { answer, connection }) if self.call.is_streamed(&answer) => {
                self.stream(placement, connection).abandon_answer(*answer).await;
            }
            _ if self.may_have_run => self.ticket.finish_unknown(),
            Ok(Outcome::NotSent | Outcome::NoRoute | Outcome::Rejected(_)) => {
                self.ticket.finish_not_run();
            }
            Ok(Outcome::Answered { answer, connection }) => {
                let reading = read_answer(&self.gateway, &placement, *answer, connection);
                match time::timeout(LEFT_ANSWER_TIMEOUT, reading).await {
                    Ok(Ok(response)) => {
                        self.charge_whole(&response);
                        self.ticket.finish_ran(!response.status().is_server_error());
                    }
                    _ => self.ticket.finish_unknown(),
                }
            }
            // The tokens of an answer that is no stream are not seen until it is whole.
            Ok(Outcome::EndedWithClient) if !self.call.shows_tokens() => {
                self.ticket.finish_unknown();
            }
            Ok(Outcome::EndedWithClient) => self.ticket.finish_cancelled(),
            Ok(Outcome::SilentSinceClientLeft { connection, closed }) => {
                let Self { gateway, call, ticket, .. } = self;
                let run = abandoned::Run { gateway: &gateway, call: &call, placement: &placement };
                run.end_silent(connection, closed, ticket).await;
            }
            Ok(Outcome::ConnectionLost | Outcome::Unknown) | Err(_) => {
                self.ticket.finish_unknown();
            }
        }
    }
}

/// Reads an answer in full and returns the connection to the idle ones.
async fn read_answer(
    gateway: &listener::Gateway,
    placement: &upstream::Placement,
    answer: backends::Answer,
    connection: backends::Connection,
) -> Result<backends::Response, Incomplete> {
    let (parts, mut incoming) = answer.into_parts();
    let handle = connection.handle();
    let mut buffer = gateway.answer_memory.buffer();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| Incomplete::ConnectionLost)?;
        handle.record_progress();
        if let Some(piece) = frame.data_ref() {
            buffer.push(piece).map_err(|_| Incomplete::TooLarge)?;
        }
    }
    // A server that crashes may close the connection just as one does that has written all.
    if connection.may_end_early()
        || connection.ends_answer() && !gateway.backends.replace_ended(placement).await
    {
        return Err(Incomplete::ConnectionLost);
    }
    gateway.backends.keep_idle(connection);
    Ok(exchange::with_head(&parts, body::Body::Whole(buffer.finish())))
}

/// The number of events in an answer that arrived as a whole; `None` if it has none.
fn count_events(response: &backends::Response) -> Option<u64> {
    let body::Body::Whole(pieces) = response.body() else { return None };
    let content_type = response.headers().get(header::CONTENT_TYPE)?.to_str().ok()?;
    if !content_type.starts_with(EVENT_STREAM) {
        return None;
    }
    let mut splitter = events::Splitter::default();
    let mut count = 0;
    for piece in pieces {
        count += splitter.push(piece).ok()?.map_or(0, |batch| batch.count);
    }
    Some(count).filter(|_| splitter.is_empty())
}

/// When a running attempt is abandoned for one at another server, which happens at most once: a server that has not
/// answered within half of the time until the deadline may have lost the request, and the other half is left for the
/// next server. `None` if only the deadline ends the attempt: a stream may take long until its first event, and a
/// request that must not be repeated has one attempt.
fn early_retry_time(call: &attempt::Call) -> Option<time::Instant> {
    let plain = call.route.kind != routes::RouteKind::Stream;
    let may_repeat = plain && call.route.repeatable() && call.route.attempts_max > 1;
    let now = Instant::now();
    let half = call.deadline.saturating_duration_since(now) / 2;
    may_repeat.then(|| time::Instant::from_std(now + half))
}

/// The response when no further server is tried: the last error that a server answered with if there is one, otherwise
/// an error of this router.
fn final_response(
    ticket: ticket::Ticket,
    error_answer: Option<backends::Response>,
    may_have_run: bool,
    refused: upstream::Admission,
) -> Result<backends::Response, Error> {
    if let Some(response) = error_answer {
        ticket.finish_ran(false);
        return Ok(response);
    }
    if may_have_run {
        ticket.finish_unknown();
        return Err(refusal::outcome_unknown());
    }
    ticket.finish_not_run();
    match refused {
        upstream::Admission::Refused(error) => Err(error),
        _ => Err(Error::closing()),
    }
}

fn log_outcome(
    call: &attempt::Call,
    placement: &upstream::Placement,
    outcome: &Result<attempt::Outcome, time::error::Elapsed>,
) {
    let outcome_name = match outcome {
        Err(_) => "timeout",
        Ok(attempt::Outcome::Answered { answer, .. }) if answer.status().is_success() => return,
        Ok(attempt::Outcome::Answered { .. }) => "failed",
        Ok(attempt::Outcome::NotSent) => "not_sent",
        Ok(attempt::Outcome::NoRoute) => "no_route",
        Ok(attempt::Outcome::Rejected(_)) => "not_run",
        Ok(attempt::Outcome::ConnectionLost) => "broken_off",
        Ok(attempt::Outcome::Unknown) => "unknown",
        Ok(attempt::Outcome::EndedWithClient) => "ended_with_client",
        Ok(attempt::Outcome::SilentSinceClientLeft { .. }) => "silent_since_client_left",
    };
    let usage = match outcome {
        Ok(attempt::Outcome::Rejected(usage)) => format!(" {usage}"),
        _ => String::new(),
    };
    log::info!(
        "event=attempt_ended id={} vm={} outcome={outcome_name}{usage}",
        call.parameters.id,
        placement.vm
    );
}

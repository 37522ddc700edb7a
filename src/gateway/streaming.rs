//! Streamed answers: events are forwarded as they arrive. If a server fails in the middle of a stream, the stream is
//! resumed at another server if its route is resumable.

use super::{
    abandoned, attempt, backends, body, clients, exchange, listener, stopped_runs, ticket,
};
use crate::{events, logging, probe, snapshot, timer, upstream};
use doorswitch_core::node;
use doorswitch_platform::runs;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time;

/// The number of pieces of an answer that are buffered for a slow client.
const PIECES_BUFFERED: usize = 16;
/// The largest piece, so that few bytes of large events are buffered.
const PIECE_BYTES_MAX: usize = 64 << 10;

/// What arrives this soon after a server was told that its client has left may have been on its way before.
const ON_ITS_WAY_MAX: Duration = Duration::from_millis(50);
/// A pause between parts of an answer from which on no more of it waits to be read. Servers make events less often.
const BACKLOG_PAUSE_MAX: Duration = Duration::from_millis(3);
/// The longest time for which an answer is read after its client has left.
const REST_TIME_MAX: Duration = Duration::from_millis(400);
/// How long a stream whose connection has ended waits for its run to go on over another one.
const CONTINUE_TIMEOUT: Duration = Duration::from_millis(250);

/// A streamed answer that is being forwarded.
pub struct Stream {
    /// The gateway that serves the client.
    pub gateway: Rc<listener::Gateway>,
    /// The request that is answered.
    pub call: attempt::Call,
    /// The admitted request in the control state.
    pub ticket: ticket::Ticket,
    /// The server that sends the events.
    pub placement: upstream::Placement,
    /// The connection from which the events are read.
    pub connection: backends::Connection,
    /// Counts the answer as open until it is dropped.
    pub _open_answer: snapshot::OpenAnswer,
}

/// How the part of a stream that one server sends ended.
enum StreamEnd {
    /// The server ended the stream after a complete event.
    Complete,
    /// The connection ended early; nothing of an incomplete event was forwarded.
    ConnectionLost,
    /// The connection ended while the server ran the request, and the server has stopped the run.
    RunStopped(runs::StoppedRun),
    /// The client closed its connection.
    ClientLeft,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// The server sent an event that is too large.
    EventTooLarge,
    /// The server, which was to continue the stream, sent an event that is not after the last one.
    OutOfOrder,
    /// The link to the server is lost; the connection is still open.
    LinkLost,
}

/// What was heard of a run after its client had left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rest {
    /// The whole answer.
    Whole,
    /// A part of it, or the end of the connection: the server is reached.
    Reached,
    /// Nothing that shows whether the server is reached.
    Silent,
}

/// A run that goes on over another connection.
struct Continued {
    incoming: Incoming,
    connection: backends::Connection,
}

/// The part of a stream that one connection carries.
struct Part {
    incoming: Incoming,
    splitter: events::Splitter,
    answer_started: bool,
}

impl Part {
    /// A part that begins with the first event of a stream, or goes on after the one with the id `last_id`.
    fn new(incoming: Incoming, last_id: Option<&str>) -> Self {
        let splitter = last_id.map(events::Splitter::after).unwrap_or_default();
        Self { incoming, splitter, answer_started: false }
    }
}

impl Stream {
    /// Returns the head of the response, and forwards the events in a task of its own.
    pub fn start(self, answer: backends::Answer) -> backends::Response {
        let (parts, incoming) = answer.into_parts();
        let (sender, pieces) = mpsc::channel(PIECES_BUFFERED);
        tokio::task::spawn_local(self.run(incoming, sender));
        exchange::with_head(&parts, body::Body::Pieces(pieces))
    }

    async fn run(mut self, incoming: Incoming, sender: mpsc::Sender<body::Piece>) {
        let mut last_id = self.call.parameters.last_event_id.clone();
        let continues = last_id.as_deref().filter(|_| self.call.route.resumable);
        let mut part = Part::new(incoming, continues);
        loop {
            let end = match self.forward(&mut part, &sender, &mut last_id).await {
                StreamEnd::Complete => self.confirm_end().await,
                end => end,
            };
            let (id, last_id) = (&self.call.parameters.id, last_id.as_deref());
            let next = match end {
                StreamEnd::LinkLost => {
                    let continued = tokio::select! {
                        continued = self.continue_run(last_id) => continued,
                        () = sender.closed() => None,
                    };
                    if let Some(continued) = continued {
                        part = self.switch_to(continued, last_id);
                    }
                    continue;
                }
                StreamEnd::Complete => {
                    self.gateway.backends.keep_idle(self.connection);
                    self.gateway.report_success(&self.call);
                    self.ticket.finish_ran(true);
                    return;
                }
                StreamEnd::ClientLeft => {
                    log::debug!("event=client_left id={id}");
                    self.abandon(part).await;
                    return;
                }
                StreamEnd::DeadlineExceeded => {
                    log::info!("event=stream_late id={id}");
                    None
                }
                StreamEnd::EventTooLarge => {
                    log::warn!("event=event_too_large id={id} vm={}", self.placement.vm);
                    self.connection.handle().abort();
                    None
                }
                StreamEnd::ConnectionLost => {
                    self.log_broken();
                    // The server may not have seen a reset that a failed link caused.
                    let ((), continued) = tokio::join!(
                        self.gateway.report_connection_lost(&self.call, &self.placement),
                        time::timeout(CONTINUE_TIMEOUT, self.continue_run(last_id)),
                    );
                    self.switch_or_resume(continued.ok().flatten(), last_id).await
                }
                StreamEnd::RunStopped(run) => {
                    self.log_broken();
                    let continued = self.go_on(run, last_id).await;
                    self.switch_or_resume(continued, last_id).await
                }
                StreamEnd::OutOfOrder => {
                    log::warn!("event=stream_out_of_order id={id} vm={}", self.placement.vm);
                    self.connection.handle().abort();
                    self.resume(last_id).await
                }
            };
            let Some(next) = next else {
                self.ticket.finish_unknown();
                let _ = sender.send(Err(body::Truncated)).await;
                return;
            };
            part = next;
        }
    }

    /// Forwards the events of one server until its part of the stream ends.
    async fn forward(
        &mut self,
        part: &mut Part,
        sender: &mpsc::Sender<body::Piece>,
        last_id: &mut Option<String>,
    ) -> StreamEnd {
        let deadline = time::Instant::from_std(self.call.deadline);
        let handle = self.connection.handle();
        loop {
            let frame = tokio::select! {
                frame = part.incoming.frame() => frame,
                () = handle.link_lost() => return StreamEnd::LinkLost,
                () = sender.closed() => return StreamEnd::ClientLeft,
                () = time::sleep_until(deadline) => return StreamEnd::DeadlineExceeded,
            };
            let bytes = match frame {
                None if part.splitter.is_empty() => return StreamEnd::Complete,
                None | Some(Err(_)) => return StreamEnd::ConnectionLost,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            handle.record_progress();
            let batch = match part.splitter.push(&bytes) {
                Err(events::Error::TooLarge { .. }) => return StreamEnd::EventTooLarge,
                Err(events::Error::OutOfOrder) => return StreamEnd::OutOfOrder,
                Ok(None) => continue,
                Ok(Some(batch)) => batch,
            };
            self.ticket.event_gaps.record_events();
            if !part.answer_started {
                part.answer_started = true;
                self.ticket.report_answer_started();
            }
            self.ticket.cost.answer_tokens += batch.count * self.call.engine.event_tokens;
            if batch.last_id.is_some() {
                *last_id = batch.last_id;
            }
            let mut rest = batch.bytes;
            while !rest.is_empty() {
                let piece = rest.split_to(rest.len().min(PIECE_BYTES_MAX));
                if sender.send(Ok(piece)).await.is_err() {
                    return StreamEnd::ClientLeft;
                }
            }
        }
    }

    /// How a stream ended that is whole unless its connection ended early: a server that crashes or a link that fails may
    /// close the connection of an answer without a length just as the server does at the end.
    async fn confirm_end(&self) -> StreamEnd {
        if !self.connection.ends_answer() {
            return StreamEnd::Complete;
        }
        if self.connection.may_end_early() {
            return StreamEnd::ConnectionLost;
        }
        let listener::Gateway { backends, control, .. } = &*self.gateway;
        match backends.probe(&self.placement, control).await {
            probe::ProbeResult::Refuses => StreamEnd::ConnectionLost,
            probe::ProbeResult::Accepts | probe::ProbeResult::Silent => StreamEnd::Complete,
            probe::ProbeResult::Closes => self.stop_if_running().await,
        }
    }

    /// How a stream ended, by what its server replies to the request to stop the run.
    async fn stop_if_running(&self) -> StreamEnd {
        let context = self.gateway.attempts();
        let stop = stopped_runs::stop(context, &self.call, &self.placement).await;
        stop.record_at(&self.connection.handle());
        match stop {
            stopped_runs::Stop::Stopped { run, .. } => StreamEnd::RunStopped(run),
            stopped_runs::Stop::NoRun => StreamEnd::Complete,
            stopped_runs::Stop::NotAsked
            | stopped_runs::Stop::NotKept
            | stopped_runs::Stop::NoReply => StreamEnd::ConnectionLost,
        }
    }

    /// Ends the run of a client that left before the head of the answer arrived.
    pub async fn abandon_answer(self, answer: backends::Answer) {
        self.abandon(Part::new(answer.into_body(), None)).await;
    }

    /// Ends the run of a client that has left, and charges what the server has made. If the server doesn't show that it is
    /// still reached, the connection's end may not reach it either: then the run is stopped through another router, and is
    /// charged in full if that fails.
    async fn abandon(mut self, mut part: Part) {
        self.connection.handle().close_sending();
        let closed = time::Instant::now();
        match self.read_rest(&mut part, closed).await {
            Rest::Whole => self.ticket.finish_ran(true),
            Rest::Reached => self.ticket.finish_cancelled(),
            Rest::Silent => {
                let Self { gateway, call, ticket, placement, connection, .. } = self;
                let run = abandoned::Run { gateway: &gateway, call: &call, placement: &placement };
                run.end_silent(connection, closed.into_std(), ticket).await;
            }
        }
    }

    /// Reads what the server has sent when its client has left, at `closed`, and charges the events. More may have arrived
    /// while this process stood still than is read in that time, so it reads on for as long as there is more at once.
    async fn read_rest(&mut self, part: &mut Part, closed: time::Instant) -> Rest {
        let mut rest = Rest::Silent;
        loop {
            let now = time::Instant::now();
            let until = match rest {
                Rest::Silent => (closed + attempt::CLOSE_SILENCE_MAX).max(now + BACKLOG_PAUSE_MAX),
                _ => now + BACKLOG_PAUSE_MAX,
            };
            let Ok(frame) = time::timeout_at(until, part.incoming.frame()).await else {
                return rest;
            };
            let bytes = match frame {
                None if part.splitter.is_empty() && !self.connection.may_end_early() => {
                    return Rest::Whole;
                }
                None => return Rest::Reached,
                Some(Err(error)) if is_closed_early(&error) => return Rest::Reached,
                Some(Err(_)) => return rest,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            self.connection.handle().record_progress();
            match part.splitter.push(&bytes) {
                Ok(Some(batch)) => {
                    let made_tokens = batch.count * self.call.engine.event_tokens;
                    self.ticket.cost.answer_tokens += made_tokens;
                }
                Ok(None) => {}
                Err(events::Error::TooLarge { .. } | events::Error::OutOfOrder) => return rest,
            }
            if closed.elapsed() >= ON_ITS_WAY_MAX {
                rest = Rest::Reached;
            }
            if closed.elapsed() >= REST_TIME_MAX {
                return rest;
            }
        }
    }

    fn log_broken(&self) {
        log::info!(
            "event=stream_broken id={} vm={} version={} resumable={}",
            self.call.parameters.id,
            self.placement.vm,
            logging::quoted(&self.placement.version),
            self.call.route.resumable,
        );
    }

    /// The part with which the stream goes on: that of the run that was continued, or else of one that resumes it.
    async fn switch_or_resume(
        &mut self,
        continued: Option<Continued>,
        last_id: Option<&str>,
    ) -> Option<Part> {
        match continued {
            Some(continued) => Some(self.switch_to(continued, last_id)),
            None => self.resume(last_id).await,
        }
    }

    fn switch_to(&mut self, continued: Continued, last_id: Option<&str>) -> Part {
        self.connection = continued.connection;
        Part::new(continued.incoming, last_id)
    }

    /// Has the run go on at its server over another connection, after the last event that was forwarded. Returns `None`
    /// if it may still go on over the present one.
    async fn continue_run(&self, last_id: Option<&str>) -> Option<Continued> {
        let context = self.gateway.attempts();
        let stop = stopped_runs::stop(context, &self.call, &self.placement).await;
        stop.record_at(&self.connection.handle());
        let stopped_runs::Stop::Stopped { run, .. } = stop else { return None };
        self.go_on(run, last_id).await
    }

    /// Has a stopped run go on after the last event that was forwarded. Returns `None` if it doesn't.
    async fn go_on(&self, run: runs::StoppedRun, last_id: Option<&str>) -> Option<Continued> {
        let context = self.gateway.attempts();
        let position = attempt::Position {
            last_event_id: last_id.map(str::to_owned),
            stopped_run: Some(run),
            stop_asked: self.connection.handle().stop_asked(),
        };
        let sent = Cell::new(false);
        // The task of the stream notices when the client leaves.
        let client = clients::Client::of_stream();
        let sending = attempt::send(context, &self.call, &self.placement, position, &sent, &client);
        let deadline = time::Instant::from_std(self.call.deadline);
        let outcome = timer::timeout_at(deadline, sending).await;
        let (id, vm) = (&self.call.parameters.id, &self.placement.vm);
        match outcome {
            Ok(attempt::Outcome::Answered { answer, connection })
                if answer.status().is_success() =>
            {
                log::info!("event=run_continued id={id} vm={vm}");
                Some(Continued { incoming: answer.into_body(), connection })
            }
            _ => {
                log::info!("event=run_not_continued id={id} vm={vm}");
                self.connection.handle().abort();
                None
            }
        }
    }

    /// Resumes the stream at another server after the last event that was forwarded. Returns `None` if its route does
    /// not allow it, or if no server resumes it before the deadline.
    async fn resume(&mut self, last_id: Option<&str>) -> Option<Part> {
        if !self.call.route.resumable {
            return None;
        }
        let deadline = time::Instant::from_std(self.call.deadline);
        let mut failure = node::AttemptFailure::MayHaveRun;
        loop {
            let placement = match self.ticket.retry(failure).await {
                upstream::Admission::Placed(placement) => placement,
                upstream::Admission::Refused(error) => {
                    let id = &self.call.parameters.id;
                    log::info!(
                        "event=stream_not_resumed id={id} code={}{}",
                        error.code,
                        self.call.parts_field(&error)
                    );
                    return None;
                }
                upstream::Admission::Replay(_) => return None,
            };
            let gateway = &self.gateway;
            let sent = Cell::new(false);
            let last_event_id = last_id.map(str::to_owned);
            let position = attempt::Position { last_event_id, ..Default::default() };
            let client = clients::Client::of_stream();
            let (context, call) = (gateway.attempts(), &self.call);
            let sending = attempt::send(context, call, &placement, position, &sent, &client);
            match timer::timeout_at(deadline, sending).await {
                Ok(attempt::Outcome::Answered { answer, connection })
                    if answer.status().is_success() =>
                {
                    log::info!(
                        "event=stream_resumed id={} vm={} version={}",
                        self.call.parameters.id,
                        placement.vm,
                        logging::quoted(&placement.version)
                    );
                    self.connection = connection;
                    self.placement = placement;
                    return Some(Part::new(answer.into_body(), last_id));
                }
                Ok(attempt::Outcome::NotSent) => failure = node::AttemptFailure::NotSent,
                Ok(attempt::Outcome::NoRoute) => failure = node::AttemptFailure::NoRoute,
                Ok(attempt::Outcome::Rejected(_)) => failure = node::AttemptFailure::Rejected,
                Ok(attempt::Outcome::ConnectionLost) => {
                    failure = node::AttemptFailure::MayHaveRun;
                    gateway.report_connection_lost(&self.call, &placement).await;
                }
                Ok(_) => failure = node::AttemptFailure::MayHaveRun,
                Err(_) => return None,
            }
        }
    }
}

/// Whether a server ended its connection before its answer was whole.
fn is_closed_early(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let io_error = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    error.is_incomplete_message()
        || io_error.is_some_and(|error| error.kind() == std::io::ErrorKind::UnexpectedEof)
}

//! Streamed answers: events are forwarded as they arrive. If a server fails in the middle of a stream, the stream is
//! resumed at another server if its route is resumable.

use super::{
    abandoned, attempt, backends, body, clients, exchange, listener, stopped_runs, ticket,
};
use crate::{events, logging, snapshot, timer, upstream};
use doorswitch_core::node;
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
    /// The client closed its connection.
    ClientLeft,
    /// The deadline of the request has passed.
    DeadlineExceeded,
    /// The server sent an event that is too large.
    EventTooLarge,
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
    fn new(incoming: Incoming) -> Self {
        Self { incoming, splitter: events::Splitter::default(), answer_started: false }
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
        let mut part = Part::new(incoming);
        let mut last_id = self.call.parameters.last_event_id.clone();
        loop {
            let end = self.forward(&mut part, &sender, &mut last_id).await;
            let id = &self.call.parameters.id;
            match end {
                StreamEnd::LinkLost => {
                    let continuing = self.continue_run(last_id.as_deref());
                    let continued = tokio::select! {
                        continued = continuing => continued,
                        () = sender.closed() => None,
                    };
                    if let Some(continued) = continued {
                        part = self.switch_to(continued);
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
                StreamEnd::DeadlineExceeded => log::info!("event=stream_late id={id}"),
                StreamEnd::EventTooLarge => {
                    log::warn!("event=event_too_large id={id} vm={}", self.placement.vm);
                    self.connection.handle().abort();
                }
                StreamEnd::ConnectionLost => {
                    let resumable = self.call.route.resumable;
                    self.log_broken(resumable);
                    // The server may not have seen a reset that a failed link caused.
                    let ((), continued) = tokio::join!(
                        self.gateway.report_connection_lost(&self.call, &self.placement),
                        time::timeout(CONTINUE_TIMEOUT, self.continue_run(last_id.as_deref())),
                    );
                    if let Ok(Some(continued)) = continued {
                        part = self.switch_to(continued);
                        continue;
                    }
                    if resumable && let Some(incoming) = self.resume(last_id.as_deref()).await {
                        part = Part::new(incoming);
                        continue;
                    }
                }
            }
            self.ticket.finish_unknown();
            let _ = sender.send(Err(body::Truncated)).await;
            return;
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
                Err(events::EventTooLarge { .. }) => return StreamEnd::EventTooLarge,
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

    /// Ends the run of a client that left before the head of the answer arrived.
    pub async fn abandon_answer(self, answer: backends::Answer) {
        self.abandon(Part::new(answer.into_body())).await;
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
                None if part.splitter.is_empty() => return Rest::Whole,
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
                Err(events::EventTooLarge { .. }) => return rest,
            }
            if closed.elapsed() >= ON_ITS_WAY_MAX {
                rest = Rest::Reached;
            }
            if closed.elapsed() >= REST_TIME_MAX {
                return rest;
            }
        }
    }

    fn log_broken(&self, resumable: bool) {
        log::info!(
            "event=stream_broken id={} vm={} version={} resumable={resumable}",
            self.call.parameters.id,
            self.placement.vm,
            logging::quoted(&self.placement.version),
        );
    }

    fn switch_to(&mut self, continued: Continued) -> Part {
        self.connection = continued.connection;
        Part::new(continued.incoming)
    }

    /// Has the run go on at its server over another connection, after the last event that was forwarded. Returns `None`
    /// if it may still go on over the present one.
    async fn continue_run(&self, last_id: Option<&str>) -> Option<Continued> {
        let context = self.gateway.attempts();
        let run = match stopped_runs::stop(context, &self.call, &self.placement).await {
            stopped_runs::Stop::Stopped(run) => run,
            stopped_runs::Stop::NotKept => return None,
            stopped_runs::Stop::NoReply => {
                self.connection.handle().forget_link_lost();
                return None;
            }
        };
        let position =
            attempt::Position { last_event_id: last_id.map(str::to_owned), stopped_run: Some(run) };
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

    /// Resumes the stream at another server after the last event that was forwarded. Returns `None` if no server
    /// resumes it before the deadline.
    async fn resume(&mut self, last_id: Option<&str>) -> Option<Incoming> {
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
            let position =
                attempt::Position { last_event_id: last_id.map(str::to_owned), stopped_run: None };
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
                    return Some(answer.into_body());
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

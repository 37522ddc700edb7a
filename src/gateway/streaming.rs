//! Streamed answers: events are forwarded as they arrive. If a server fails in the middle of a stream, the stream is
//! resumed at another server if its route is resumable.

use super::{attempt, backends, body, events, exchange, listener, ticket};
use crate::{logging, snapshot, timer, upstream};
use doorswitch_core::node;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time;

/// The number of pieces of an answer that are buffered for a slow client.
const PIECES_BUFFERED: usize = 16;

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
        let mut incoming = incoming;
        let mut last_id = self.call.parameters.last_event_id.clone();
        loop {
            let end = self.forward(incoming, &sender, &mut last_id).await;
            let id = &self.call.parameters.id;
            match end {
                StreamEnd::Complete => {
                    self.gateway.backends.keep_idle(self.connection);
                    self.gateway.report_success(&self.call);
                    self.ticket.finish_ran(true);
                    return;
                }
                StreamEnd::ClientLeft => {
                    log::debug!("event=client_left id={id}");
                    return;
                }
                StreamEnd::DeadlineExceeded => log::info!("event=stream_late id={id}"),
                StreamEnd::ConnectionLost if self.call.route.resumable => {
                    self.log_broken(true);
                    self.gateway.report_connection_lost(&self.call, &self.placement).await;
                    if let Some(next) = self.resume(last_id.as_deref()).await {
                        incoming = next;
                        continue;
                    }
                }
                StreamEnd::ConnectionLost => {
                    self.log_broken(false);
                    self.gateway.report_connection_lost(&self.call, &self.placement).await;
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
        mut incoming: Incoming,
        sender: &mpsc::Sender<body::Piece>,
        last_id: &mut Option<String>,
    ) -> StreamEnd {
        let deadline = time::Instant::from_std(self.call.deadline);
        let mut splitter = events::Splitter::default();
        let mut answer_started = false;
        loop {
            let frame = tokio::select! {
                frame = incoming.frame() => frame,
                () = sender.closed() => return StreamEnd::ClientLeft,
                () = time::sleep_until(deadline) => return StreamEnd::DeadlineExceeded,
            };
            let bytes = match frame {
                None if splitter.is_empty() => return StreamEnd::Complete,
                None | Some(Err(_)) => return StreamEnd::ConnectionLost,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let Some(batch) = splitter.push(&bytes) else { continue };
            self.ticket.event_gaps.record_events();
            if !answer_started {
                answer_started = true;
                self.ticket.report_answer_started();
            }
            self.ticket.cost.answer_tokens += batch.count * self.call.event_tokens;
            if batch.last_id.is_some() {
                *last_id = batch.last_id;
            }
            if sender.send(Ok(batch.bytes)).await.is_err() {
                return StreamEnd::ClientLeft;
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
                    log::info!("event=stream_not_resumed id={id} code={}", error.code);
                    return None;
                }
                upstream::Admission::Replay(_) => return None,
            };
            let gateway = &self.gateway;
            let sent = Cell::new(false);
            let sending = attempt::send(gateway.attempts(), &self.call, &placement, last_id, &sent);
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
                Ok(attempt::Outcome::Rejected) => failure = node::AttemptFailure::Rejected,
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

//! Streams: events are passed on as they come, and a stream that breaks goes on at another server if
//! its route allows it.

use super::{attempt, backends, body, events, exchange, listener, ticket};
use crate::{snapshot, upstream};
use doorswitch_core::node;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time;

/// Pieces of an answer that wait for a slow client.
const PIECES_WAITING: usize = 16;

/// A stream under way.
pub struct Stream {
    /// The gateway.
    pub gateway: Rc<listener::Gateway>,
    /// The call.
    pub call: attempt::Call,
    /// Its place in the control state.
    pub ticket: ticket::Ticket,
    /// The server that it comes from.
    pub place: upstream::Placement,
    /// The connection that the stream comes on.
    pub connection: backends::Connection,
    /// Counts the answer as open until it is dropped.
    pub _open: snapshot::OpenAnswer,
}

/// How one server's part of a stream ended.
enum End {
    /// Whole.
    Whole,
    /// It broke off; nothing of an unfinished event was passed on.
    Broken,
    /// The client left.
    Left,
    /// The time is up.
    Late,
}

impl Stream {
    /// Answers with the head, and passes the events on from a task of its own.
    pub fn start(self, answer: backends::Answer) -> backends::Response {
        let (parts, incoming) = answer.into_parts();
        let (sender, pieces) = mpsc::channel(PIECES_WAITING);
        tokio::task::spawn_local(self.run(incoming, sender));
        exchange::with_head(&parts, body::Body::Pieces(pieces))
    }

    async fn run(mut self, incoming: Incoming, sender: mpsc::Sender<body::Piece>) {
        let mut incoming = incoming;
        let mut last_id = self.call.asked.last_event_id.clone();
        loop {
            let end = self.pass_on(incoming, &sender, &mut last_id).await;
            let id = &self.call.asked.id;
            match end {
                End::Whole => {
                    self.gateway.backends.rest(self.connection);
                    self.gateway.ended_well(&self.call);
                    self.ticket.ran(true);
                    return;
                }
                End::Left => {
                    log::debug!("event=client_left id={id}");
                    return;
                }
                End::Late => log::info!("event=stream_late id={id}"),
                End::Broken if self.call.route.resumable => {
                    log::info!("event=stream_broken id={id} resumable=true");
                    self.gateway.run_broken(&self.call, &self.place).await;
                    if let Some(next) = self.resume(last_id.as_deref()).await {
                        incoming = next;
                        continue;
                    }
                }
                End::Broken => {
                    log::info!("event=stream_broken id={id} resumable=false");
                    self.gateway.run_broken(&self.call, &self.place).await;
                }
            }
            self.ticket.unknown();
            let _ = sender.send(Err(body::BrokenOff)).await;
            return;
        }
    }

    /// Passes one server's events on.
    async fn pass_on(
        &mut self,
        mut incoming: Incoming,
        sender: &mpsc::Sender<body::Piece>,
        last_id: &mut Option<String>,
    ) -> End {
        let deadline = time::Instant::from_std(self.call.deadline);
        let mut splitter = events::Splitter::default();
        let mut begun = false;
        loop {
            let frame = tokio::select! {
                frame = incoming.frame() => frame,
                () = sender.closed() => return End::Left,
                () = time::sleep_until(deadline) => return End::Late,
            };
            let bytes = match frame {
                None if splitter.is_empty() => return End::Whole,
                None | Some(Err(_)) => return End::Broken,
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let Some(batch) = splitter.push(&bytes) else { continue };
            self.ticket.pace.note_events();
            if !begun {
                begun = true;
                self.ticket.answering();
            }
            self.ticket.cost.answer_tokens += batch.count * self.call.event_tokens;
            if batch.last_id.is_some() {
                *last_id = batch.last_id;
            }
            if sender.send(Ok(batch.bytes)).await.is_err() {
                return End::Left;
            }
        }
    }

    /// Goes on at another server after the last event that was passed on.
    async fn resume(&mut self, last_id: Option<&str>) -> Option<Incoming> {
        let deadline = time::Instant::from_std(self.call.deadline);
        let mut tried = node::AttemptFailure::MayHaveRun;
        loop {
            let upstream::Admission::Placed(place) = self.ticket.retry(tried).await else {
                return None;
            };
            let gateway = &self.gateway;
            let sending = attempt::send(gateway.attempts(), &self.call, &place, last_id);
            match time::timeout_at(deadline, sending).await {
                Ok(attempt::Outcome::Answered { answer, connection })
                    if answer.status().is_success() =>
                {
                    log::info!("event=stream_resumed id={} vm={}", self.call.asked.id, place.vm);
                    self.connection = connection;
                    self.place = place;
                    return Some(answer.into_body());
                }
                Ok(attempt::Outcome::NotSent) => tried = node::AttemptFailure::NotSent,
                Ok(attempt::Outcome::TurnedAway) => tried = node::AttemptFailure::Rejected,
                Ok(attempt::Outcome::BrokenOff) => {
                    tried = node::AttemptFailure::MayHaveRun;
                    gateway.run_broken(&self.call, &place).await;
                }
                Ok(_) => tried = node::AttemptFailure::MayHaveRun,
                Err(_) => return None,
            }
        }
    }
}

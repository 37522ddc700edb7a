//! Stops runs whose answers no longer arrive because the link to their server is lost, so that they can go on over a
//! connection through another router.
//!
//! The server is asked over such a connection. It keeps the state of a run that it stops, and the same request goes on
//! from there: the run is neither repeated nor does it go on twice.

use super::{attempt, backends, socket};
use crate::upstream;
use bytes::Bytes;
use doorswitch_platform::runs;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use std::time::Duration;
use tokio::time;

/// The time within which a server must reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest reply that is read.
const REPLY_BYTES_MAX: usize = 4 << 10;
/// The number of servers that are asked for room.
const TARGETS_MAX: usize = 3;

/// What became of a run that was to be stopped.
#[derive(Debug)]
pub enum Stop {
    /// It is stopped, and its state is kept.
    Stopped {
        /// The run.
        run: runs::StoppedRun,
        /// Whether the reply to an earlier request was lost, which may stop the run once more after it went on.
        earlier_lost: bool,
    },
    /// It was not asked, as the call names another server of the service and none is known.
    NotAsked,
    /// The server has no such run or keeps no runs: it has stopped nothing, and asking it again is of no use.
    NoRun,
    /// The server may have stopped it but names no state that it keeps; asking it again is of no use.
    NotKept,
    /// The server did not reply and may have stopped it.
    NoReply,
}

impl Stop {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Stopped { .. } => "stopped",
            Self::NotAsked => "not_asked",
            Self::NoRun => "no_run",
            Self::NotKept => "not_kept",
            Self::NoReply => "no_reply",
        }
    }

    /// Tells the connection that carries the answer of the run what its end will mean, and whether to ask again.
    pub fn record_at(&self, handle: &socket::ConnectionHandle) {
        if matches!(self, Self::Stopped { earlier_lost: true, .. } | Self::NotKept | Self::NoReply)
        {
            handle.record_stop_asked();
        }
        if matches!(self, Self::NoReply) {
            handle.forget_link_lost();
        }
    }
}

/// Stops the run of a call at its server, if that keeps stopped runs: a model server that does not refuses the call.
pub async fn stop(
    context: attempt::Context<'_>,
    call: &attempt::Call,
    placement: &upstream::Placement,
) -> Stop {
    if !call.engine.is_model {
        return Stop::NoRun;
    }
    let stop = ask_to_stop(context.backends, &call.parameters.id, placement).await;
    let (id, vm) = (&call.parameters.id, &placement.vm);
    match &stop {
        Stop::Stopped { run, .. } => {
            log::info!("event=run_stopped id={id} vm={vm} events={}", run.events)
        }
        Stop::NotAsked | Stop::NoRun | Stop::NotKept | Stop::NoReply => {
            log::info!("event=run_not_stopped id={id} vm={vm} cause={}", stop.as_str());
        }
    }
    metrics::counter!("doorswitch_stopped_runs_total", "outcome" => stop.as_str()).increment(1);
    stop
}

async fn ask_to_stop(
    backends: &backends::Backends,
    id: &str,
    placement: &upstream::Placement,
) -> Stop {
    let server = &placement.address;
    let mut stop = Stop::NotAsked;
    for _ in 0..TARGETS_MAX {
        let Some(target) = backends.links().another_of_service(server) else { break };
        let request = runs::stop_request(server, id, &target);
        let Some(reply) = exchange(backends, placement, request).await else {
            return Stop::NoReply;
        };
        match runs::decode_stop_reply(server, reply.status, &reply.body) {
            runs::StopReply::Stopped(run) => {
                return Stop::Stopped { run, earlier_lost: reply.earlier_lost };
            }
            // The run may be unknown because the request whose reply was lost has stopped it.
            runs::StopReply::NoRun if reply.earlier_lost => return Stop::NotKept,
            runs::StopReply::NoRun => return Stop::NoRun,
            // Another target may have room.
            runs::StopReply::Refused => stop = Stop::NotKept,
        }
    }
    stop
}

/// Has a server discard the state of a stopped run.
pub async fn release(
    context: attempt::Context<'_>,
    placement: &upstream::Placement,
    run: &runs::StoppedRun,
) {
    // Without a reply the state expires.
    let _ = exchange(context.backends, placement, run.release_request()).await;
}

/// A server's reply.
struct Reply {
    status: u16,
    body: Bytes,
    /// Whether the reply to the same request on an earlier connection was lost.
    earlier_lost: bool,
}

/// Sends a request to a server, and once more if its connection is lost; `None` if there is no reply in time.
async fn exchange(
    backends: &backends::Backends,
    placement: &upstream::Placement,
    request: Request<Bytes>,
) -> Option<Reply> {
    let exchange = async {
        // The own link may be about to fail: a server that stops the run when its reply is lost has none to stop later.
        let connection = backends.connect_around_link(placement, false).await.ok()?;
        if let Some((status, body)) = exchange_over(connection, request.clone()).await {
            return Some(Reply { status, body, earlier_lost: false });
        }
        let connection = backends.connect_anew(placement, false).await.ok()?;
        let (status, body) = exchange_over(connection, request).await?;
        Some(Reply { status, body, earlier_lost: true })
    };
    time::timeout(REPLY_TIMEOUT, exchange).await.ok().flatten()
}

/// Sends a request over a connection, which is closed afterwards: a copy of the reply may name the run that goes on. `None`
/// if the connection is lost.
async fn exchange_over(
    mut connection: backends::Connection,
    request: Request<Bytes>,
) -> Option<(u16, Bytes)> {
    let answer = connection.sender.send_request(request.map(Full::new)).await.ok()?;
    let (parts, body) = answer.into_parts();
    let body = Limited::new(body, REPLY_BYTES_MAX).collect().await.ok()?.to_bytes();
    Some((parts.status.as_u16(), body))
}

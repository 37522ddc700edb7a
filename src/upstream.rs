//! What calls to backend servers have in common.

use crate::{api_error, control, fingerprint, probe, snapshot};
use actix::prelude::Addr;
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderMap, HeaderValue};
use doorswitch_core::{ids, node, quarantine, servers};
use doorswitch_platform::answers;
use std::net;
use std::sync::Arc;
use std::time::Instant;

/// Tells the control thread how runs of one request ended, where that may concern other requests.
pub struct RunReports {
    /// The control thread.
    pub control: Addr<control::Control>,
    /// What it published.
    pub published: Arc<snapshot::Published>,
    /// The router's own address.
    pub local: net::IpAddr,
    /// A digest of all of the request but its body.
    pub head: fingerprint::HeadDigest,
    /// The request's body.
    pub body: bytes::Bytes,
}

impl RunReports {
    /// The request's fingerprint, if it may be one under which servers crashed.
    pub fn suspected(&self) -> Option<ids::Fingerprint> {
        self.published.suspected(|| self.head, &self.body)
    }

    /// A run of it ended well.
    pub fn ended_well(&self) {
        if let Some(request) = self.suspected() {
            self.control.do_send(control::EndedWell(request));
        }
    }

    /// An answer to it came from a server, with this head.
    pub fn answered(&self, place: &Placement, status: StatusCode, head: &HeaderMap, sent: Instant) {
        let values = |name| head.get_all(name).map(HeaderValue::as_bytes);
        let said = answers::said(status.as_u16(), values);
        report_head(&self.control, &self.published, place, said, sent);
    }

    /// The connection to a server ended while that ran it.
    pub async fn broken(&self, place: &Placement, id: &str) {
        let request = self.head.with_body(&self.body);
        let (control, local, address) = (self.control.clone(), self.local, place.address.clone());
        let server = place.server();
        let probing = async {
            let (probed, socket) = probe::probe(&place.address, local, || false).await;
            if let Some(socket) = socket {
                let ended = async move { while !socket.ends_within(probe::WATCHED).await {} };
                actix_web::rt::spawn(probe::watch_survivor(control, server, address, local, ended));
            }
            probed
        };
        probe::run_broken(&self.control, place, id, request, probing).await;
    }
}

/// A request that the control thread has placed on a server.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Its slot in the control state.
    pub slot: ids::RequestSlot,
    /// The server's address.
    pub address: String,
    /// The server's VM.
    pub vm: String,
    /// The life of the server that it is meant for.
    pub life: ids::ServerLife,
    /// Identifies this try.
    pub attempt: ids::AttemptId,
    /// Tokens of the prompt that the server is taken to have to read.
    pub unread_tokens: u64,
}

impl Placement {
    /// The server and its life.
    pub fn server(&self) -> quarantine::ServerInstance {
        quarantine::ServerInstance { vm: self.vm.clone(), life: self.life }
    }
}

/// What came of asking for a placement.
#[derive(Debug)]
pub enum Admission {
    /// Send it.
    Placed(Placement),
    /// It ran before; this was recorded.
    Replay(Option<doorswitch_core::log_index::Outcome>),
    /// It did not run.
    Refused(api_error::ApiError),
}

/// Tells the control thread what the head of an answer says of its server, where that says something.
pub fn report_head(
    control: &Addr<control::Control>,
    published: &snapshot::Published,
    place: &Placement,
    said: servers::Directives,
    sent: Instant,
) {
    // While limits are known, answers that name none say something too.
    if said.is_empty() && !published.knows_limits() {
        return;
    }
    let (vm, life, heard) = (place.vm.clone(), place.life, Instant::now());
    control.do_send(control::HeadReported { vm, life, said, sent, heard });
}

/// Asks the control thread for a placement.
pub async fn admit(control: &Addr<control::Control>, wanted: node::Wanted) -> Admission {
    let Ok((slot, reply)) = control.send(control::Admit { wanted }).await else {
        return Admission::Refused(api_error::ApiError::closing());
    };
    admission(slot, control::ask(Ok(reply)).await)
}

/// Asks the control thread for another server.
pub async fn retry(
    control: &Addr<control::Control>,
    slot: ids::RequestSlot,
    tried: node::Tried,
) -> Admission {
    let reply = control.send(control::Retry { slot, tried }).await;
    admission(slot, control::ask(reply).await)
}

/// Reports the end of a request and waits until it is safe.
pub async fn finish(
    control: &Addr<control::Control>,
    slot: ids::RequestSlot,
    ending: node::Ending,
) {
    let reply = control.send(control::Finish { slot, ending }).await;
    control::ask(reply).await;
}

/// Whether a failed call ended with its connection, and not by a limit of this router.
pub fn broke_off(error: &awc::error::SendRequestError) -> bool {
    use awc::error::{ConnectError, SendRequestError};
    let disconnected = matches!(error, SendRequestError::Connect(ConnectError::Disconnected));
    disconnected || matches!(error, SendRequestError::Send(_) | SendRequestError::Response(_))
}

/// Whether a failed call certainly sent nothing.
pub fn not_sent(error: &awc::error::SendRequestError) -> bool {
    use awc::error::SendRequestError;
    // The library calls it a failure to connect as well when a connection ends before the answer, after all was sent:
    // an unrepeatable call would run twice.
    !broke_off(error) && matches!(error, SendRequestError::Connect(_) | SendRequestError::Url(_))
}

/// Whether a server said that it did not start the request.
pub fn says_not_run(status: StatusCode, body: &[u8]) -> bool {
    let said = || {
        let body: serde_json::Value = serde_json::from_slice(body).ok()?;
        Some(body.get("error")?.get("ran")?.as_str()? == "not_run")
    };
    status == StatusCode::SERVICE_UNAVAILABLE && said() == Some(true)
}

fn admission(slot: ids::RequestSlot, answer: Option<node::Answer>) -> Admission {
    match answer {
        Some(node::Answer::Dispatch { address, vm, life, attempt, unread_tokens }) => {
            Admission::Placed(Placement { slot, address, vm, life, attempt, unread_tokens })
        }
        Some(node::Answer::Replay(outcome)) => Admission::Replay(outcome),
        Some(node::Answer::Refuse { reason, retry_after_ms }) => {
            Admission::Refused(api_error::refusal(reason, retry_after_ms))
        }
        Some(node::Answer::Closed { .. }) | None => {
            Admission::Refused(api_error::ApiError::closing())
        }
    }
}

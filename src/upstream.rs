//! Functions shared by all calls to backend servers: admission, retries, and reports to the control thread.

use crate::{api_error, control, fingerprint, http_client, links, logging, probe, snapshot};
use actix::prelude::Addr;
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderMap, HeaderValue};
use doorswitch_core::{ids, node, quarantine, servers, streams};
use doorswitch_platform::answers;
use std::sync::Arc;
use std::time::Instant;

/// The header with the id of an attempt, by which servers name the call in their answers.
pub const ATTEMPT_ID: &str = "x-attempt-id";

/// Reports to the control thread how the runs of one request ended, if that may affect other requests.
pub struct RunReports {
    /// The address of the control thread.
    pub control: Addr<control::Control>,
    /// The state that the control thread publishes.
    pub published: Arc<snapshot::Published>,
    /// The router's links to servers.
    pub links: Arc<links::Links>,
    /// A digest of everything in the request but its body.
    pub head: fingerprint::HeadDigest,
    /// The body of the request.
    pub body: bytes::Bytes,
}

impl RunReports {
    /// The fingerprint of the request, if it may be one of those that are suspected of crashing servers.
    pub fn suspected(&self) -> Option<ids::Fingerprint> {
        self.published.suspected(|| self.head, &self.body)
    }

    /// Reports that a server ran the request without crashing, if the request is suspected.
    pub fn report_success(&self) {
        if let Some(request) = self.suspected() {
            let succeeded = control::RunSucceeded { request: Some(request), parts: Vec::new() };
            self.control.do_send(succeeded);
        }
    }

    /// Reports the directives in the status and headers of a server's answer to a request that was sent at `sent`.
    pub fn report_answer(
        &self,
        placement: &Placement,
        status: StatusCode,
        headers: &HeaderMap,
        sent: Instant,
    ) {
        let values = |name| headers.get_all(name).map(HeaderValue::as_bytes);
        let directives = answers::directives(status.as_u16(), values);
        report_head(&self.control, &self.published, placement, directives, sent);
    }

    /// Reports that the connection to a server ended while the server ran the request, and probes whether the server
    /// has crashed.
    pub async fn report_connection_lost(&self, placement: &Placement, id: &str) {
        let request = probe::InterruptedRequest {
            id,
            fingerprint: self.head.with_body(&self.body),
            parts: &[],
            part_fingerprints: &[],
        };
        let (control, links, address) =
            (self.control.clone(), self.links.clone(), placement.address.clone());
        let server = placement.server();
        let probing = async {
            let (result, established) = probe::probe(&placement.address, &links, || false).await;
            if let Some(links::Established { stream, .. }) = established {
                let ended =
                    async move { while !probe::ends_within(&stream, probe::WATCH_TIME).await {} };
                actix_web::rt::spawn(probe::watch_connection(
                    control, server, address, links, ended,
                ));
            }
            result
        };
        probe::report_connection_lost(&self.control, placement, request, probing).await;
    }
}

/// A request that the control thread has placed on a server.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The request's slot in the control state.
    pub slot: ids::RequestSlot,
    /// The server's IP address and port.
    pub address: String,
    /// The VM on which the server runs.
    pub vm: String,
    /// The server incarnation for which the request is meant.
    pub incarnation: ids::ServerIncarnation,
    /// The software version of the server; empty if its record names none.
    pub version: String,
    /// The id of this attempt.
    pub attempt: ids::AttemptId,
    /// The number of prompt tokens that the server is estimated not to have in its cache.
    pub unread_tokens: u64,
}

impl Placement {
    /// The server's VM and incarnation.
    pub fn server(&self) -> quarantine::ServerInstance {
        quarantine::ServerInstance { vm: self.vm.clone(), incarnation: self.incarnation }
    }
}

/// The control thread's decision on a request.
#[derive(Debug)]
pub enum Admission {
    /// The request may be sent to this server.
    Placed(Placement),
    /// The request ran before, and this outcome was recorded, if any.
    Replay(Option<doorswitch_core::log_index::Outcome>),
    /// The request is refused for this reason.
    Refused(api_error::ApiError),
}

/// Reports the directives in the head of an answer to the control thread, if they can change its state.
pub fn report_head(
    control: &Addr<control::Control>,
    published: &snapshot::Published,
    placement: &Placement,
    directives: servers::Directives,
    sent: Instant,
) {
    // While limits are in force, an answer without directives matters too.
    if directives.is_empty() && !published.any_limits() {
        return;
    }
    let (vm, incarnation, received_at) =
        (placement.vm.clone(), placement.incarnation, Instant::now());
    control.do_send(control::DirectivesReported {
        vm,
        incarnation,
        directives,
        sent_at: sent,
        received_at,
    });
}

/// Submits a request for admission and waits for the decision.
pub async fn admit(control: &Addr<control::Control>, request: node::AdmissionRequest) -> Admission {
    let Ok((slot, reply)) = control.send(control::Admit::new(request)).await else {
        return Admission::Refused(api_error::ApiError::closing());
    };
    admission(slot, control::await_answer(Ok(reply)).await)
}

/// Submits a request for admission and waits for the decision, or until `client_left` completes. A decision that was made
/// by then is returned: what it grants is not lost with the client.
pub async fn admit_unless_left(
    control: &Addr<control::Control>,
    request: node::AdmissionRequest,
    client_left: impl Future<Output = ()>,
) -> Admission {
    let Ok((slot, mut reply)) = control.send(control::Admit::new(request)).await else {
        return Admission::Refused(api_error::ApiError::closing());
    };
    let answer = tokio::select! {
        biased;
        answer = &mut reply => answer.ok(),
        () = client_left => {
            reply.close();
            reply.try_recv().ok()
        }
    };
    admission(slot, answer)
}

/// Searches for the origin of a stream that a client continues, and waits for the result.
pub async fn find_stream_origin(
    control: &Addr<control::Control>,
    search: node::OriginSearch,
) -> Result<(streams::Origin, node::OriginSource), api_error::ApiError> {
    let found = match control.send(control::FindStreamOrigin(search)).await {
        Ok(receiver) => receiver.await.ok(),
        Err(_) => None,
    };
    match found {
        Some(node::OriginFound::Origin { origin, source }) => Ok((origin, source)),
        Some(node::OriginFound::Refused { reason, retry_after_ms }) => {
            Err(api_error::refusal(reason, retry_after_ms))
        }
        None => Err(api_error::ApiError::closing()),
    }
}

/// Requests another server after an attempt failed, and waits for the decision.
pub async fn retry(
    control: &Addr<control::Control>,
    slot: ids::RequestSlot,
    failure: node::AttemptFailure,
) -> Admission {
    let reply = control.send(control::Retry { slot, failure }).await;
    admission(slot, control::await_answer(reply).await)
}

/// Reports the outcome of a request and waits until the control thread has settled it.
pub async fn finish(
    control: &Addr<control::Control>,
    slot: ids::RequestSlot,
    outcome: node::RequestOutcome,
) {
    let reply = control.send(control::Finish { slot, outcome }).await;
    control::await_answer(reply).await;
}

/// Whether a call failed because its connection ended, and not because of a limit of this router.
pub fn is_connection_lost(error: &awc::error::SendRequestError) -> bool {
    use awc::error::{ConnectError, SendRequestError};
    let disconnected = matches!(error, SendRequestError::Connect(ConnectError::Disconnected));
    disconnected || matches!(error, SendRequestError::Send(_) | SendRequestError::Response(_))
}

/// Whether a call failed before any of it was sent.
pub fn is_not_sent(error: &awc::error::SendRequestError) -> bool {
    use awc::error::SendRequestError;
    // `awc` also reports a failure to connect if a connection ends before the answer, after everything was sent. Taking
    // that for unsent would run an unrepeatable call twice.
    !is_connection_lost(error)
        && matches!(error, SendRequestError::Connect(_) | SendRequestError::Url(_))
}

/// Whether a call failed because there is no way to the server, which says nothing about the server itself.
pub fn is_no_route(error: &awc::error::SendRequestError) -> bool {
    use awc::error::{ConnectError, SendRequestError};
    let SendRequestError::Connect(ConnectError::Io(error)) = error else { return false };
    error.kind() == std::io::ErrorKind::NetworkUnreachable
}

/// Whether the head of an answer shows that it is to this call: it names the call, or it names none and the connection
/// has carried no other (`shared` is `false`). Any other answer states nothing about the call, which may have run.
pub fn answers_call(
    http: &http_client::ServerClients,
    placement: &Placement,
    headers: &HeaderMap,
    shared: bool,
) -> bool {
    let named = headers.get(ATTEMPT_ID).and_then(|value| value.to_str().ok());
    http.record_naming(&placement.address, named.is_some());
    let answers = named.map_or(!shared, |id| id.parse() == Ok(placement.attempt.0));
    if !answers {
        log::info!(
            "event=answer_to_another_request id={} vm={} answered={}",
            placement.attempt.0,
            placement.vm,
            logging::quoted(named.unwrap_or_default())
        );
        metrics::counter!("doorswitch_answers_to_other_requests_total").increment(1);
    }
    answers
}

/// Whether a server's answer states that it rejected the request without running it.
pub fn is_rejection(status: StatusCode, body: &[u8]) -> bool {
    let states_not_run = || {
        let body: serde_json::Value = serde_json::from_slice(body).ok()?;
        Some(body.get("error")?.get("ran")?.as_str()? == "not_run")
    };
    status == StatusCode::SERVICE_UNAVAILABLE && states_not_run() == Some(true)
}

fn admission(slot: ids::RequestSlot, answer: Option<node::Answer>) -> Admission {
    match answer {
        Some(node::Answer::Dispatch {
            address,
            vm,
            incarnation,
            version,
            attempt,
            unread_tokens,
        }) => Admission::Placed(Placement {
            slot,
            address,
            vm,
            incarnation,
            version,
            attempt,
            unread_tokens,
        }),
        Some(node::Answer::Replay(outcome)) => Admission::Replay(outcome),
        Some(node::Answer::Refuse { reason, retry_after_ms }) => {
            Admission::Refused(api_error::refusal(reason, retry_after_ms))
        }
        Some(node::Answer::Closed { .. }) | None => {
            Admission::Refused(api_error::ApiError::closing())
        }
    }
}

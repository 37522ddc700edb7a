//! Streams that a client continues with another request after their connection broke. They go on only at the software
//! version that wrote their first event.

use super::{exchange, listener};
use crate::{api_error, logging, upstream};
use doorswitch_core::{ids, node, routes, streams};
use sha2::Digest;
use std::time::{Duration, Instant};

impl listener::Gateway {
    /// Finds the origin of the stream that a request continues; `None` if it continues none.
    pub(super) async fn find_stream_origin(
        &self,
        head: &exchange::ResolvedHead,
        started: Instant,
    ) -> Result<Option<streams::Origin>, api_error::ApiError> {
        let parameters = &head.parameters;
        if head.route.kind != routes::RouteKind::Stream || parameters.last_event_id.is_none() {
            return Ok(None);
        }
        let services = head.route.targets.iter().filter(|target| target.weight > 0);
        let search = node::OriginSearch {
            stream: parameters.resumes.as_deref().map(|first| stream_id(head, first)),
            services: services.map(|target| target.service.clone()).collect(),
        };
        let found = upstream::find_stream_origin(&self.control, search).await;
        let (id, fields) = (&parameters.id, log_fields(head));
        let waited_ms = started.elapsed().as_millis();
        match found {
            Ok((origin, source)) => {
                log::info!(
                    "event=stream_continued id={id}{fields} service={} version={} source={} waited_ms={waited_ms}",
                    origin.service,
                    logging::quoted(&origin.version),
                    source.as_str(),
                );
                Ok(Some(origin))
            }
            Err(error) => {
                log::info!(
                    "event=refused id={id}{fields} code={} waited_ms={waited_ms}",
                    error.code
                );
                Err(error)
            }
        }
    }
}

/// The stream that a request begins or continues; `None` if its client can't continue it.
pub(super) fn stream_request(
    head: &exchange::ResolvedHead,
    origin: Option<streams::Origin>,
) -> Option<node::StreamRequest> {
    let resumable = head.route.kind == routes::RouteKind::Stream && head.route.resumable;
    if !resumable && origin.is_none() {
        return None;
    }
    let parameters = &head.parameters;
    let first = match (&origin, &parameters.resumes) {
        (Some(_), Some(first)) => first,
        _ => &parameters.id,
    };
    // A client may try until its deadline, which may be later than the route's timeout.
    let timeout = Duration::from_millis(head.route.timeout_ms);
    let kept = parameters.deadline.unwrap_or(timeout).max(timeout);
    Some(node::StreamRequest {
        id: stream_id(head, first),
        version: origin.map(|origin| origin.version),
        kept_ms: kept.as_millis() as u64,
    })
}

/// The fields by which the log lines of a request tell that its client continues a stream.
pub(super) fn log_fields(head: &exchange::ResolvedHead) -> String {
    let parameters = &head.parameters;
    let Some(last_event_id) = &parameters.last_event_id else { return String::new() };
    let resumes = parameters.resumes.as_deref().map_or_else(|| "-".to_owned(), logging::quoted);
    format!(" resumes={resumes} last_event_id={}", logging::quoted(last_event_id))
}

/// The stream that began with the answer to the request `first` of the workspace.
fn stream_id(head: &exchange::ResolvedHead, first: &str) -> ids::StreamId {
    let workspace = head.workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
    let mut hasher = sha2::Sha256::new();
    // The length prefix keeps the boundary between the fields unambiguous.
    hasher.update((workspace.len() as u64).to_be_bytes());
    hasher.update(workspace);
    hasher.update(first);
    let mut id = [0; 16];
    id.copy_from_slice(&hasher.finalize()[..16]);
    ids::StreamId(id)
}

//! Probes whether a server has crashed whose connection ended while it ran a request.

use crate::{control, fingerprint, links, upstream};
use actix::prelude::Addr;
use doorswitch_core::{ids, node, quarantine};
use doorswitch_platform::headers;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// How long a probe waits for a connection, while the answer to the client is delayed: several round trips within a
/// region. The word of other routers on a refusal may take longer.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection that is established while a server process ends is reset when its listening socket is closed. A
/// connection that stays open this long shows that the server runs, if other connections to it have stayed open too.
const OPEN_TIME_MIN: Duration = Duration::from_millis(25);
/// The same if there is no other open connection to the server. The answer to the client is delayed until then.
const OPEN_TIME_MIN_ALONE: Duration = Duration::from_millis(125);
/// How long the connection is watched after that, without delaying an answer.
pub const WATCH_TIME: Duration = Duration::from_millis(400);
/// How long the answer to the client is delayed after a crash: a tick and the time for the update to reach other
/// routers. Without the delay a client could repeat the request at once at a router that has not received the update.
const UPDATE_LEAD_TIME: Duration = Duration::from_millis(30);
/// The number of connections that one probe makes to a server that closes each of them at once.
const CONNECTIONS_MAX: usize = 3;

/// How a server's address reacts to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was accepted and stayed open.
    Accepts,
    /// Each connection was accepted and ended at once: the server has no room for it, or the link closes it.
    Closes,
    /// The connection was refused: nothing listens there, so the server process has ended.
    Refuses,
    /// Nothing was received in time, or connecting failed in another way.
    Silent,
}

impl ProbeResult {
    /// The value of the key `server` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepts => "Accepts",
            Self::Closes => "Closes",
            Self::Refuses => "Refuses",
            Self::Silent => "Silent",
        }
    }
}

/// Probes whether a server still accepts connections, and returns the connection if one is established and stays open.
/// While a process ends, the kernel may still accept connections for it, which end when its listening socket is closed.
/// `others_open` returns whether there are connections to the server that are older than the end of the one that was
/// lost and still open.
pub async fn probe(
    address: &str,
    links: &links::Links,
    others_open: impl Fn() -> bool,
) -> (ProbeResult, Option<links::Established>) {
    for _ in 0..CONNECTIONS_MAX {
        let established = match links.probe(address, PROBE_TIMEOUT).await {
            Ok(established) => established,
            Err(links::Error::Refused) => return (ProbeResult::Refuses, None),
            Err(_) => return (ProbeResult::Silent, None),
        };
        let stream = &established.stream;
        let ended = ends_within(stream, OPEN_TIME_MIN).await
            || (!others_open() && ends_within(stream, OPEN_TIME_MIN_ALONE - OPEN_TIME_MIN).await);
        if !ended {
            return (ProbeResult::Accepts, Some(established));
        }
    }
    (ProbeResult::Closes, None)
}

/// Whether a connection that no other task reads from ends within `time`.
pub async fn ends_within(stream: &TcpStream, time: Duration) -> bool {
    match tokio::time::timeout(time, stream.ready(Interest::READABLE)).await {
        Ok(Ok(ready)) => ready.is_read_closed() || ready.is_error(),
        Ok(Err(_)) => true,
        Err(_) => false,
    }
}

/// Watches the connection that a probe established, and probes again if it ends within `WATCH_TIME`: the server process
/// may have been ending during the first probe. Reports a server that refuses connections then.
pub async fn watch_connection(
    control: Addr<control::Control>,
    server: quarantine::ServerInstance,
    address: String,
    links: Arc<links::Links>,
    ended: impl Future<Output = ()>,
) {
    if tokio::time::timeout(WATCH_TIME, ended).await.is_err() {
        return;
    }
    if let (ProbeResult::Refuses, _) = probe(&address, &links, || true).await {
        log::info!("event=server_refuses vm={} after=accepted", server.vm);
        control.do_send(control::ServerRefused(server));
    }
}

/// A request whose run was interrupted.
#[derive(Clone, Copy, Debug)]
pub struct InterruptedRequest<'a> {
    /// The id of the request.
    pub id: &'a str,
    /// The fingerprint of the request.
    pub fingerprint: ids::Fingerprint,
    /// The parts of its prompt; empty if they are not known.
    pub parts: &'a [headers::Part],
    /// The fingerprints of all parts but the last one.
    pub part_fingerprints: &'a [ids::Fingerprint],
}

/// Reports to the control thread that the connection to a server ended while the server ran a request, and then the
/// result of the probe. Returns once an answer to the client may be sent.
pub async fn report_connection_lost(
    control: &Addr<control::Control>,
    placement: &upstream::Placement,
    request: InterruptedRequest<'_>,
    probing: impl Future<Output = ProbeResult>,
) {
    let InterruptedRequest { id, fingerprint: request, parts, part_fingerprints } = request;
    let server = placement.server();
    let (slot, address) = (placement.slot, placement.address.clone());
    let run = node::BrokenRun {
        slot,
        server: server.clone(),
        address,
        request,
        parts: part_fingerprints.to_vec(),
    };
    control.do_send(control::RunBroken(run));
    let result = probing.await;
    log::info!(
        "event=run_broken id={id} vm={} fingerprint={request} parts={} server={}",
        placement.vm,
        fingerprint::part_names(parts, part_fingerprints),
        result.as_str()
    );
    match result {
        ProbeResult::Refuses => {
            control.do_send(control::ServerRefused(server));
            tokio::time::sleep(UPDATE_LEAD_TIME).await;
        }
        ProbeResult::Accepts | ProbeResult::Closes => {
            control.do_send(control::ServerAccepted(server))
        }
        ProbeResult::Silent => {}
    }
}

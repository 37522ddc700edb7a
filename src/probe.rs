//! Whether a server whose connection ended while it ran a request has crashed.

use crate::gateway::socket;
use crate::{control, upstream};
use actix::prelude::Addr;
use doorswitch_core::{ids, node, quarantine};
use std::time::Duration;
use std::{io, net};

/// How long an answer is held back until it is known whether a server still listens: several round trips within a region.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection that comes up while a server ends is reset with its listening socket. One that lasts this long shows that
/// the server lives, if others to it have lasted too.
const SURVIVES: Duration = Duration::from_millis(25);
/// The same where no other connection tells: an answer is held back until then.
const SURVIVES_ALONE: Duration = Duration::from_millis(125);
/// It is watched for this long after that, without holding anything up.
pub const WATCHED: Duration = Duration::from_millis(400);
/// An answer waits for so long after a crash, a tick and the way of the news: its caller may repeat the request at once, at a
/// router that has yet to hear.
const NEWS_AHEAD: Duration = Duration::from_millis(30);
/// A server that ends each connection as soon as it comes up is looked at no more often than this.
const LOOKS_MAX: usize = 3;

/// What a server's address does with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Probed {
    /// It takes it.
    Accepts,
    /// Nothing listens there: the process that did is over.
    Refuses,
    /// Nothing was heard in time.
    Silent,
}

impl Probed {
    /// The value of the key `server` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepts => "Accepts",
            Self::Refuses => "Refuses",
            Self::Silent => "Silent",
        }
    }
}

/// Looks whether a server still takes connections: the connection, if one comes up and lasts. While a process ends, the
/// kernel may still take connections for it, which end with its listening socket. `others_live` tells whether other
/// connections to the server have outlived the one that ended.
pub async fn probe(
    address: &str,
    local: net::IpAddr,
    others_live: impl Fn() -> bool,
) -> (Probed, Option<socket::Socket>) {
    let Ok(target) = address.parse() else { return (Probed::Silent, None) };
    for _ in 0..LOOKS_MAX {
        let connecting = socket::Socket::connect(target, local);
        let socket = match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) if is_refusal(&error) => return (Probed::Refuses, None),
            Ok(Err(_)) | Err(_) => return (Probed::Silent, None),
        };
        let ended = socket.ends_within(SURVIVES).await
            || (!others_live() && socket.ends_within(SURVIVES_ALONE - SURVIVES).await);
        if !ended {
            return (Probed::Accepts, Some(socket));
        }
    }
    (Probed::Accepts, None)
}

/// Watches the connection that came up when a server was looked at: if it ends soon, the server may have been ending then.
pub async fn watch_survivor(
    control: Addr<control::Control>,
    server: quarantine::ServerInstance,
    address: String,
    local: net::IpAddr,
    ended: impl Future<Output = ()>,
) {
    if tokio::time::timeout(WATCHED, ended).await.is_err() {
        return;
    }
    if let (Probed::Refuses, _) = probe(&address, local, || true).await {
        log::info!("event=server_refuses vm={} after=accepted", server.vm);
        control.do_send(control::ServerRefused(server));
    }
}

/// Whether a connection failed because nothing listens.
pub fn is_refusal(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

/// Tells the control thread that a server's connection ended while it ran a request, and whether it still listens.
pub async fn run_broken(
    control: &Addr<control::Control>,
    place: &upstream::Placement,
    id: &str,
    request: ids::Fingerprint,
    probing: impl Future<Output = Probed>,
) {
    let server = place.server();
    let (slot, address) = (place.slot, place.address.clone());
    let run = node::BrokenRun { slot, server: server.clone(), address, request };
    control.do_send(control::RunBroken(run));
    let probed = probing.await;
    log::info!(
        "event=run_broken id={id} vm={} fingerprint={request} server={}",
        place.vm,
        probed.as_str()
    );
    match probed {
        Probed::Refuses => {
            control.do_send(control::ServerRefused(server));
            tokio::time::sleep(NEWS_AHEAD).await;
        }
        Probed::Accepts => control.do_send(control::ServerAccepted(server)),
        Probed::Silent => {}
    }
}

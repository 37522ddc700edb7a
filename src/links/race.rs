//! The race between the own link and other routers for a connection to a server.

use super::{CONNECT_TIMEOUT, Error, Established, Links, client, lock};
use doorswitch_core::links;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::collections::BTreeSet;
use std::time::Duration;
use std::{io, net};
use tokio::net::TcpStream;
use tokio::time;

/// Once a router has found that a server refuses connections, the others have this multiple of the usual time of a
/// connection to report that they reach it. Routers that do not respond would otherwise delay the retry of the request
/// and the updates on a crash.
const OBJECTION_TIME_FACTOR: u32 = 2;

/// What the routers that were asked found out about a server.
enum PeersReply {
    /// One of them is connected to it.
    Connected(Established),
    /// The server refuses connections.
    Refused,
    /// The server does not respond to them.
    Unresponsive,
    /// None of them could tell.
    Unknown,
}

impl Links {
    /// Connects over the own link or, if that has not connected after `head_start`, through another router.
    pub(super) async fn race(
        &self,
        address: &str,
        target: net::SocketAddr,
        head_start: Duration,
    ) -> Result<Established, Error> {
        let own = self.connect_directly(address, target, CONNECT_TIMEOUT);
        tokio::pin!(own);
        let first = time::timeout(head_start, &mut own).await;
        let asking = self.ask_peers(address);
        tokio::pin!(asking);
        let (own_result, reply) = match first {
            Ok(Ok(stream)) => return Ok(direct(stream)),
            Ok(Err(error)) => (Err(error), asking.await),
            Err(_) => tokio::select! {
                result = &mut own => match result {
                    Ok(_) | Err(Error::Timeout) => (result, PeersReply::Unknown),
                    Err(error) => (Err(error), asking.await),
                },
                reply = &mut asking => (self.await_own(own, &reply, address).await, reply),
            },
        };
        self.resolve(address, own_result, reply).await
    }

    /// Finds out whether the server still accepts connections: connects over the own link within `own_timeout` or, if
    /// that fails, through another router. A refusal of the own link waits for the word of other routers.
    pub async fn probe(&self, address: &str, own_timeout: Duration) -> Result<Established, Error> {
        let target: net::SocketAddr =
            address.parse().map_err(|_| Error::Address { address: address.to_owned() })?;
        let alone = self.peers.load().is_empty();
        if self.is_lost(address) && !alone {
            return self.connect_through_peers(address).await;
        }
        let own = self.connect_directly(address, target, own_timeout).await;
        match own {
            Ok(stream) => Ok(direct(stream)),
            Err(error) if alone => Err(error),
            Err(Error::Timeout) => {
                let others = time::timeout(own_timeout, self.connect_through_peers(address)).await;
                others.unwrap_or(Err(Error::Timeout))
            }
            Err(error) => {
                let reply = self.ask_peers_anew(address).await;
                self.record_reply(address, &reply);
                self.resolve(address, Err(error), reply).await
            }
        }
    }

    /// The result of a race.
    async fn resolve(
        &self,
        address: &str,
        own_result: Result<TcpStream, Error>,
        reply: PeersReply,
    ) -> Result<Established, Error> {
        match (own_result, reply) {
            (_, PeersReply::Connected(established)) => {
                self.record_lost(address);
                Ok(established)
            }
            (Ok(stream), _) => Ok(direct(stream)),
            (Err(error), PeersReply::Unknown) => Err(self.own_error(address, error).await),
            // A connection to a server that is just closing its listener is reset instead of refused.
            (Err(_), PeersReply::Refused) => Err(Error::Refused),
            (Err(Error::Refused), PeersReply::Unresponsive) => Err(Error::Timeout),
            (Err(error), PeersReply::Unresponsive) => Err(error),
        }
    }

    /// Connects to a server through another router.
    pub async fn connect_through_peers(&self, address: &str) -> Result<Established, Error> {
        match self.ask_peers(address).await {
            PeersReply::Connected(established) => Ok(established),
            PeersReply::Refused => Err(Error::Refused),
            PeersReply::Unresponsive => Err(Error::Timeout),
            PeersReply::Unknown => Err(Error::NoRoute),
        }
    }

    /// Waits for the own link after the other routers have replied, unless all own links turn out to be lost.
    async fn await_own(
        &self,
        own: impl Future<Output = Result<TcpStream, Error>>,
        reply: &PeersReply,
        address: &str,
    ) -> Result<TcpStream, Error> {
        match reply {
            PeersReply::Connected(_) => return Err(Error::Timeout),
            PeersReply::Unknown => self.request_comparison(address),
            PeersReply::Refused | PeersReply::Unresponsive => {}
        }
        tokio::select! {
            result = own => result,
            () = self.all_lost() => Err(Error::NoRoute),
        }
    }

    /// The error if the own link failed and no other router could tell why.
    async fn own_error(&self, address: &str, error: Error) -> Error {
        if !matches!(error, Error::Refused | Error::Failed { .. }) {
            self.request_comparison(address);
            return error;
        }
        match self.reaches_others(address, links::ServerFault::Refused).await {
            Some(false) => {
                self.request_comparison(address);
                Error::NoRoute
            }
            // Without another router's word, only the own link to this server may have failed.
            Some(true) | None => match error {
                Error::Refused => Error::Failed { source: io::ErrorKind::ConnectionRefused.into() },
                error => error,
            },
        }
    }

    /// Asks other routers for a connection, unless they have just found that the server fails.
    async fn ask_peers(&self, address: &str) -> PeersReply {
        match lock(&self.table).server_fault(address, self.now_ms()) {
            Some(links::ServerFault::Refused) => return PeersReply::Refused,
            Some(links::ServerFault::Unresponsive) => return PeersReply::Unresponsive,
            Some(links::ServerFault::Unknown) => return PeersReply::Unknown,
            None => {}
        }
        let reply = self.ask_peers_anew(address).await;
        self.record_reply(address, &reply);
        reply
    }

    fn record_reply(&self, address: &str, reply: &PeersReply) {
        let fault = match reply {
            PeersReply::Refused => links::ServerFault::Refused,
            PeersReply::Unresponsive => links::ServerFault::Unresponsive,
            PeersReply::Unknown => links::ServerFault::Unknown,
            PeersReply::Connected(_) => return,
        };
        lock(&self.table).record_server_fault(address, fault, self.now_ms());
    }

    /// Asks other routers for a connection, the next one when one does not have it or is slow.
    async fn ask_peers_anew(&self, address: &str) -> PeersReply {
        let peers = self.peers.load_full();
        let (candidates, further, patience_ms) = {
            let table = lock(&self.table);
            let now_ms = self.now_ms();
            let mut rng = lock(&self.rng);
            let (candidates, further) =
                table.peers_to_ask(&peers, &self.failure_domain, address, now_ms, &mut rng);
            (candidates, further, table.patience_ms(address))
        };
        let mut candidates = candidates.into_iter();
        let mut further = further.into_iter();
        let ask = |peer| client::ask(self.incarnation, self.local, peer, address);
        let mut pending = FuturesUnordered::new();
        // Routers that were asked and have not answered yet.
        let mut unanswered = BTreeSet::new();
        let mut reply = PeersReply::Unknown;
        let patience = Duration::from_millis(patience_ms);
        let mut objections_until = None;
        loop {
            if let Some(peer) = candidates.next() {
                unanswered.insert(peer.id);
                pending.push(ask(peer));
            }
            let answered = tokio::select! {
                answered = pending.next() => answered,
                () = time::sleep(patience), if candidates.len() > 0 => continue,
                () = sleep_until(objections_until) => {
                    let mut table = lock(&self.table);
                    for peer in unanswered {
                        table.record_peer_failed(peer, None, self.now_ms());
                    }
                    return reply;
                }
            };
            let Some((peer, answer)) = answered else {
                if further.len() == 0 {
                    return reply;
                }
                unanswered.extend(further.as_slice().iter().map(|peer| peer.id));
                pending.extend(further.by_ref().map(ask));
                continue;
            };
            unanswered.remove(&peer.id);
            let failed_for = match answer {
                Ok(stream) => {
                    return PeersReply::Connected(Established { stream, via: Some(peer) });
                }
                Err(client::Error::Refused) => {
                    reply = PeersReply::Refused;
                    for other in candidates.by_ref().chain(further.by_ref()) {
                        unanswered.insert(other.id);
                        pending.push(ask(other));
                    }
                    objections_until.get_or_insert_with(|| {
                        time::Instant::now() + OBJECTION_TIME_FACTOR * patience
                    });
                    Some(address)
                }
                Err(client::Error::Unresponsive) => {
                    if matches!(reply, PeersReply::Unknown) {
                        reply = PeersReply::Unresponsive;
                    }
                    Some(address)
                }
                Err(error) => {
                    log::debug!(
                        "event=peer_not_connected peer={} server={address} fault={}",
                        peer.vm,
                        crate::logging::quoted(error)
                    );
                    None
                }
            };
            lock(&self.table).record_peer_failed(peer.id, failed_for, self.now_ms());
        }
    }
}

/// Waits until a moment, or for ever if there is none.
async fn sleep_until(moment: Option<time::Instant>) {
    match moment {
        Some(moment) => time::sleep_until(moment).await,
        None => std::future::pending().await,
    }
}

fn direct(stream: TcpStream) -> Established {
    Established { stream, via: None }
}

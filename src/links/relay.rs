//! Connections to backend servers that this router forwards for other routers.
//!
//! A connection is opened only for a live router of the own fleet and only to a server in the list. The bytes are not
//! interpreted: admission, limits and retries stay with the router that has the request.

use super::{Error, Links, lock};
use doorswitch_core::{links, message};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use std::{io, net};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, tcp};
use tokio::{io as async_io, time};

/// The number of connections that are forwarded at once; each takes two descriptors and two buffers.
const CONNECTIONS_MAX: u64 = 1_000;
/// How long the connection of the router stays open after the server has closed its own, for the bytes that are still
/// on their way.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests a connection to a server for the router at the source address. The control actor answers it.
#[derive(Debug, actix::Message)]
#[rtype(result = "Result<Opened, message::ConnectReply>")]
pub struct Open {
    /// The request.
    pub request: message::Connect,
    /// The address from which it came.
    pub source: net::IpAddr,
}

/// An open connection to a server, counted until it is dropped.
#[derive(Debug)]
pub struct Opened {
    stream: TcpStream,
    _count: Count,
}

/// Counts one forwarded connection until it is dropped.
#[derive(Debug)]
struct Count(Arc<AtomicU64>);

impl Drop for Count {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Links {
    /// Opens a connection to the server at `address` for another router, over the own link only.
    pub async fn open_for_peer(&self, address: &str) -> Result<Opened, message::ConnectReply> {
        let count = self.count_relayed().ok_or(message::ConnectReply::Unavailable)?;
        let target = address.parse().map_err(|_| message::ConnectReply::NotAllowed)?;
        if self.is_lost(address) {
            return Err(message::ConnectReply::Unavailable);
        }
        if let Some(reply) = lock(&self.table).refused_peer(address, self.now_ms()) {
            return Err(reply);
        }
        let fault = match self.connect_directly(address, target, self.reach_timeout(address)).await
        {
            Ok(stream) => return Ok(Opened { stream, _count: count }),
            Err(Error::Refused) => links::ServerFault::Refused,
            Err(_) => links::ServerFault::Unresponsive,
        };
        // The failure says something about the server only if this router's own links work.
        let reply = match (self.reaches_others(address, fault).await, fault) {
            (Some(false), _) => message::ConnectReply::Unavailable,
            (_, links::ServerFault::Refused) => message::ConnectReply::Refused,
            _ => message::ConnectReply::Unresponsive,
        };
        lock(&self.table).record_refused_peer(address, reply, self.now_ms());
        Err(reply)
    }

    fn count_relayed(&self) -> Option<Count> {
        let increment = |count| (count < CONNECTIONS_MAX).then_some(count + 1);
        let counted =
            self.relayed.fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment).is_ok();
        counted.then(|| Count(self.relayed.clone()))
    }
}

/// Forwards bytes between a router and a server until one of them has closed its connection.
///
/// An answer without a length ends with its connection. So the router's connection is closed regularly only if the
/// server closed its own, and reset in all other cases, also when this process is killed.
pub async fn forward(mut router: TcpStream, opened: Opened) -> io::Result<()> {
    router.set_nodelay(true)?;
    socket2::SockRef::from(&router).set_linger(Some(Duration::ZERO))?;
    let Opened { stream: mut server, _count } = opened;
    let (mut from_router, to_router) = router.split();
    let (from_server, mut to_server) = server.split();
    let requests = async_io::copy(&mut from_router, &mut to_server);
    tokio::pin!(requests);
    tokio::select! {
        ended = &mut requests => return ended.map(drop),
        ended = forward_answers(from_server, to_router) => ended?,
    }
    // The router closes its connection when it has read the end.
    match time::timeout(CLOSE_TIMEOUT, requests).await {
        Ok(ended) => ended.map(drop),
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

async fn forward_answers(
    mut from_server: tcp::ReadHalf<'_>,
    mut to_router: tcp::WriteHalf<'_>,
) -> io::Result<()> {
    async_io::copy(&mut from_server, &mut to_router).await?;
    to_router.shutdown().await
}

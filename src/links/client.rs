//! Requests a connection to a server from another router.

use crate::{keep_alive, peers};
use bytes::Bytes;
use doorswitch_core::{ids, links, message};
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use std::{io, net};
use tokio::net::TcpStream;
use tokio::time;
use tokio_util::codec;

/// The time within which the other router must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Why another router did not provide a connection.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("the server refuses connections"))]
    Refused,
    #[snafu(display("the server does not respond"))]
    Unresponsive,
    #[snafu(display("the router cannot connect to servers"))]
    Unavailable,
    #[snafu(display("the router does not allow the connection"))]
    NotAllowed,
    #[snafu(display("the router cannot be asked: {source}"), context(false))]
    Io { source: io::Error },
    #[snafu(display("the router's answer is unreadable: {source}"), context(false))]
    Decode { source: peers::Error },
    #[snafu(display("the router's answer is incomplete or followed by other bytes"))]
    Protocol,
    #[snafu(display("the router did not answer in time"))]
    Timeout,
}

/// Asks `peer` for a connection to the server at `address`.
pub async fn ask(
    own: ids::Incarnation,
    local: net::IpAddr,
    peer: links::Peer,
    address: &str,
) -> (links::Peer, Result<TcpStream, Error>) {
    let request = message::Connect { from: own, to: peer.id, address: address.to_owned() };
    let exchange = time::timeout(ANSWER_TIMEOUT, exchange(local, &peer, request));
    let result = exchange.await.unwrap_or(Err(Error::Timeout));
    (peer, result)
}

async fn exchange(
    local: net::IpAddr,
    peer: &links::Peer,
    request: message::Connect,
) -> Result<TcpStream, Error> {
    let target = peer.address.parse().map_err(io::Error::other)?;
    let stream = keep_alive::TRAFFIC.connect(target, local).await?;
    let mut framed = codec::Framed::new(stream, peers::frame_codec());
    framed.send(Bytes::from(peers::encode(&message::Frame::Connect(request)))).await?;
    let answer = framed.next().await.ok_or(Error::Protocol)??;
    match peers::decode::<message::ConnectReply>(&answer)? {
        message::ConnectReply::Connected => {}
        message::ConnectReply::Refused => return Err(Error::Refused),
        message::ConnectReply::Unresponsive => return Err(Error::Unresponsive),
        message::ConnectReply::Unavailable => return Err(Error::Unavailable),
        message::ConnectReply::NotAllowed => return Err(Error::NotAllowed),
    }
    // A server sends nothing before it has received a request.
    let parts = framed.into_parts();
    match parts.read_buf.is_empty() {
        true => Ok(parts.io),
        false => Err(Error::Protocol),
    }
}

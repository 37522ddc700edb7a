//! Connections and datagrams between routers.
//!
//! A frame is a length, the protocol's version and a `postcard` body. Sending never waits: messages that cannot be sent
//! are dropped, as the core tolerates loss. The receiver acknowledges each frame with an empty one.

mod link;

use crate::links::relay;
use crate::{keep_alive, logging};
use actix::prelude::{Addr, Message};
use bytes::{Buf, BufMut};
use doorswitch_core::message;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use std::{cell, collections, io, net, rc};
use tokio::sync::mpsc;
use tokio_util::codec;

/// The largest frame; a configuration is the largest message.
const FRAME_BYTES_MAX: usize = 4 << 20;
/// The largest datagram that is sent or received.
const DATAGRAM_BYTES_MAX: usize = 8 << 10;
/// The delay before the next accept after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(200);

type Framed = codec::Framed<tokio::net::TcpStream, codec::LengthDelimitedCodec>;

/// Why a frame could not be decoded.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("frame is too short"))]
    Short,
    #[snafu(display("protocol version {found} is not supported (expected {})", message::PROTOCOL))]
    Protocol { found: u16 },
    #[snafu(display("frame is not readable: {source}"))]
    Decode { source: postcard::Error },
}

/// A message that was received from a peer.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct MessageReceived(pub message::Envelope);

/// Gossip that was received from a peer in a datagram.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct GossipReceived(pub Box<message::Gossip>);

/// Encodes a frame's body.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut frame = Vec::with_capacity(256);
    frame.put_u16_le(message::PROTOCOL);
    // Encoding fails only for maps of unknown length, which these types do not have.
    postcard::to_extend(value, frame).unwrap_or_default()
}

/// Decodes a frame's body.
pub fn decode<'a, T: Deserialize<'a>>(mut frame: &'a [u8]) -> Result<T, Error> {
    let body = check_protocol(&mut frame)?;
    postcard::from_bytes(body).map_err(|source| Error::Decode { source })
}

/// Checks the protocol's version and returns the body after it.
fn check_protocol<'a>(frame: &mut &'a [u8]) -> Result<&'a [u8], Error> {
    snafu::ensure!(frame.len() >= 2, ShortSnafu);
    let found = frame.get_u16_le();
    snafu::ensure!(found == message::PROTOCOL, ProtocolSnafu { found });
    Ok(frame)
}

/// Encodes a datagram. The extension of gossip, the confirmations and the sends of suspected requests follow the other
/// fields, where builds that do not know them ignore them.
pub fn encode_datagram(datagram: &message::Datagram) -> Vec<u8> {
    let frame = encode(datagram);
    match datagram {
        message::Datagram::Gossip(gossip) => match (&gossip.extension, &gossip.confirmations) {
            (Some(extension), Some(confirmations)) => {
                let parts = (extension, confirmations, &gossip.quarantine.sends);
                postcard::to_extend(&parts, frame).unwrap_or_default()
            }
            (Some(extension), None) => postcard::to_extend(extension, frame).unwrap_or_default(),
            (None, _) => frame,
        },
        message::Datagram::Message(_) => frame,
    }
}

/// Decodes a datagram.
pub fn decode_datagram(mut frame: &[u8]) -> Result<message::Datagram, Error> {
    let body = check_protocol(&mut frame)?;
    let decoded = postcard::take_from_bytes::<message::Datagram>(body);
    let (mut datagram, rest) = decoded.map_err(|source| Error::Decode { source })?;
    if let message::Datagram::Gossip(gossip) = &mut datagram
        && !rest.is_empty()
    {
        let decoded = postcard::take_from_bytes(rest);
        let (extension, rest) = decoded.map_err(|source| Error::Decode { source })?;
        gossip.extension = Some(extension);
        if !rest.is_empty() {
            let decoded = postcard::take_from_bytes(rest);
            let (confirmations, rest) = decoded.map_err(|source| Error::Decode { source })?;
            gossip.confirmations = Some(confirmations);
            if !rest.is_empty() {
                let decoded = postcard::from_bytes(rest);
                gossip.quarantine.sends = decoded.map_err(|source| Error::Decode { source })?;
            }
        }
    }
    Ok(datagram)
}

/// An actor that handles the messages, the gossip and the requests for connections of peers.
pub trait Receiver:
    actix::Actor<Context = actix::Context<Self>>
    + actix::Handler<MessageReceived>
    + actix::Handler<GossipReceived>
    + actix::Handler<relay::Open>
{
}

/// The router's sockets for peers, owned by the control actor.
#[derive(Debug)]
pub struct Peers {
    local: net::SocketAddr,
    datagrams: rc::Rc<tokio::net::UdpSocket>,
    links: cell::RefCell<collections::HashMap<String, mpsc::Sender<Vec<u8>>>>,
}

impl Peers {
    /// Starts receiving on bound sockets.
    pub fn start<R: Receiver>(
        listener: net::TcpListener,
        datagrams: net::UdpSocket,
        receiver: Addr<R>,
    ) -> io::Result<Self> {
        let local = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        datagrams.set_nonblocking(true)?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let datagrams = rc::Rc::new(tokio::net::UdpSocket::from_std(datagrams)?);
        actix::spawn(accept(listener, receiver.clone()));
        actix::spawn(receive_datagrams(datagrams.clone(), receiver));
        Ok(Self { local, datagrams, links: Default::default() })
    }

    /// Sends a message, or drops it if the peer's queue is full.
    pub fn send(&self, address: &str, envelope: message::Envelope) {
        if envelope.message.by_datagram() {
            self.send_datagram(address, &message::Datagram::Message(envelope));
            return;
        }
        let mut links = self.links.borrow_mut();
        links.retain(|_, link| !link.is_closed());
        let link = links
            .entry(address.to_owned())
            .or_insert_with(|| link::start(address.to_owned(), self.local.ip()));
        if link.try_send(encode(&message::Frame::Message(envelope))).is_err() {
            log::debug!("event=message_dropped to={address}");
        }
    }

    /// Sends gossip in a datagram.
    pub fn gossip(&self, address: &str, gossip: Box<message::Gossip>) {
        self.send_datagram(address, &message::Datagram::Gossip(gossip));
    }

    fn send_datagram(&self, address: &str, datagram: &message::Datagram) {
        let Ok(address) = address.parse::<net::SocketAddr>() else { return };
        let frame = encode_datagram(datagram);
        if frame.len() > DATAGRAM_BYTES_MAX {
            log::warn!("event=datagram_too_large to={address} bytes={}", frame.len());
            return;
        }
        if let Err(error) = self.datagrams.try_send_to(&frame, address) {
            // The same as a datagram lost in the network, from which the protocol recovers.
            log::debug!("event=datagram_not_sent to={address} fault={}", logging::quoted(error));
        }
    }
}

async fn accept<R: Receiver>(listener: tokio::net::TcpListener, receiver: Addr<R>) {
    loop {
        match listener.accept().await {
            Ok((stream, source)) => {
                actix::spawn(receive(stream, source.ip(), receiver.clone()));
            }
            Err(error) => {
                log::warn!("event=accept_failed fault={}", logging::quoted(error));
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn receive<R: Receiver>(
    stream: tokio::net::TcpStream,
    source: net::IpAddr,
    receiver: Addr<R>,
) {
    keep_alive::TRAFFIC.apply_to(&stream);
    let mut framed = codec::Framed::new(stream, frame_codec());
    while let Some(Ok(frame)) = framed.next().await {
        match decode::<message::Frame>(&frame) {
            Ok(message::Frame::Message(envelope)) => receiver.do_send(MessageReceived(envelope)),
            Ok(message::Frame::Connect(request)) => {
                relay_connection(framed, relay::Open { request, source }, &receiver).await;
                return;
            }
            Err(error) => {
                log::warn!("event=frame_refused fault={}", logging::quoted(error));
                return;
            }
        }
        if let Err(error) = framed.send(link::ACKNOWLEDGEMENT).await {
            log::debug!("event=frame_not_acknowledged fault={}", logging::quoted(error));
            return;
        }
    }
}

/// Answers a peer's request for a connection to a server, and forwards the connection until it ends.
async fn relay_connection<R: Receiver>(mut framed: Framed, open: relay::Open, receiver: &Addr<R>) {
    let (from, address) = (open.request.from, open.request.address.clone());
    let opened = match receiver.send(open).await {
        Ok(opened) => opened,
        Err(_) => Err(message::ConnectReply::Unavailable),
    };
    let reply = opened.as_ref().err().copied().unwrap_or(message::ConnectReply::Connected);
    if let Err(error) = framed.send(bytes::Bytes::from(encode(&reply))).await {
        log::debug!("event=relay_not_answered from={from} fault={}", logging::quoted(error));
        return;
    }
    let Ok(opened) = opened else { return };
    let parts = framed.into_parts();
    if !parts.read_buf.is_empty() {
        log::warn!("event=relay_refused from={from} server={address} fault=early_bytes");
        return;
    }
    if let Err(error) = relay::forward(parts.io, opened).await {
        log::debug!(
            "event=relay_broken from={from} server={address} fault={}",
            logging::quoted(error)
        );
    }
}

async fn receive_datagrams<R: Receiver>(socket: rc::Rc<tokio::net::UdpSocket>, receiver: Addr<R>) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        match decode_datagram(&buffer[..length]) {
            Ok(message::Datagram::Gossip(gossip)) => receiver.do_send(GossipReceived(gossip)),
            Ok(message::Datagram::Message(envelope)) => receiver.do_send(MessageReceived(envelope)),
            Err(error) => {
                log::debug!("event=datagram_refused fault={}", logging::quoted(error));
            }
        }
    }
}

/// The codec for frames on connections between routers.
pub fn frame_codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}

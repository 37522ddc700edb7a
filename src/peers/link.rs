//! A connection to one peer: frames go out, an empty frame comes back for each one that the peer took.

use super::frame_codec;
use crate::keep_alive;
use futures_util::{SinkExt, StreamExt};
use std::time::Duration;
use std::{io, net};
use tokio::sync::mpsc;
use tokio::{select, time};
use tokio_util::codec;

/// What the receiver of a frame answers.
pub const ACKNOWLEDGEMENT: bytes::Bytes = bytes::Bytes::new();
/// Messages that wait for one peer's connection.
const QUEUE_LENGTH: usize = 4_096;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const RECONNECT_AFTER: Duration = Duration::from_millis(200);
/// A connection to a peer that carried nothing for so long is closed: in a large fleet each router talks to all
/// others now and then, and an open connection costs both of them memory.
const IDLE_AFTER: Duration = Duration::from_secs(10);
/// A connection on which no frame was acknowledged for so long is given up: what takes its bytes may not be the peer.
/// Longer than a large configuration takes on a small VM's link, and well below [`IDLE_AFTER`].
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(3);

type Framed = codec::Framed<tokio::net::TcpStream, codec::LengthDelimitedCodec>;

/// Starts a link to a peer from a local address; it ends when the sender is dropped.
pub fn start(address: String, local: net::IpAddr) -> mpsc::Sender<Vec<u8>> {
    let (sender, queue) = mpsc::channel(QUEUE_LENGTH);
    actix::spawn(run(address, local, queue));
    sender
}

/// Connects when there is something to send, and again after a failure.
async fn run(address: String, local: net::IpAddr, mut queue: mpsc::Receiver<Vec<u8>>) {
    let Ok(target) = address.parse::<net::SocketAddr>() else { return };
    while let Some(frame) = queue.recv().await {
        match time::timeout(CONNECT_TIMEOUT, connect(target, local)).await {
            Ok(Ok(stream)) => carry(&address, stream, frame, &mut queue).await,
            _ => time::sleep(RECONNECT_AFTER).await,
        }
    }
}

/// Sends frames until the connection ends, rests for long, or goes unacknowledged.
async fn carry(
    address: &str,
    stream: tokio::net::TcpStream,
    first: Vec<u8>,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) {
    let mut framed = codec::Framed::new(stream, frame_codec());
    let mut unacknowledged = 0_usize;
    let mut next = Some(first);
    let mut heard = time::Instant::now();
    loop {
        if let Some(frame) = next.take() {
            if unacknowledged == 0 {
                heard = time::Instant::now();
            }
            unacknowledged += 1;
            let sent =
                time::timeout(ACKNOWLEDGED_WITHIN, framed.send(bytes::Bytes::from(frame))).await;
            if !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
        let patience = if unacknowledged > 0 { ACKNOWLEDGED_WITHIN } else { IDLE_AFTER };
        select! {
            frame = queue.recv() => match frame {
                Some(frame) => next = Some(frame),
                None => return,
            },
            acknowledged = acknowledgement(&mut framed) => {
                if !acknowledged {
                    return;
                }
                unacknowledged = unacknowledged.saturating_sub(1);
                heard = time::Instant::now();
            }
            () = time::sleep_until(heard + patience) => {
                if unacknowledged > 0 {
                    log::warn!("event=link_given_up to={address} unacknowledged={unacknowledged}");
                }
                return;
            }
        }
    }
}

/// Whether a frame was acknowledged; otherwise the peer closed the connection or sent something else.
async fn acknowledgement(framed: &mut Framed) -> bool {
    matches!(framed.next().await, Some(Ok(frame)) if frame.is_empty())
}

async fn connect(target: net::SocketAddr, local: net::IpAddr) -> io::Result<tokio::net::TcpStream> {
    let socket = match target {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    if !local.is_unspecified() {
        socket.bind(net::SocketAddr::new(local, 0))?;
    }
    let stream = socket.connect(target).await?;
    stream.set_nodelay(true)?;
    // Frames sent into a silent connection would be lost as long as it looks open.
    keep_alive::TRAFFIC.apply_to(&stream);
    Ok(stream)
}

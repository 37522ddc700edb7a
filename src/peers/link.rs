//! A connection to one peer, which acknowledges each frame that it receives with an empty one.

use super::{Framed, frame_codec};
use crate::keep_alive;
use futures_util::{SinkExt, StreamExt};
use std::net;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::{select, time};
use tokio_util::codec;

/// The frame that acknowledges another one.
pub const ACKNOWLEDGEMENT: bytes::Bytes = bytes::Bytes::new();
/// The largest number of messages queued for one peer's connection.
const QUEUE_LENGTH: usize = 4_096;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// An idle connection is closed after this time: in a large fleet each router exchanges messages with all others from
/// time to time, and an open connection costs memory on both sides.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection is closed when no frame was acknowledged for this time: something other than the peer may receive its
/// bytes. Longer than a large configuration takes on a small VM's link, and well below [`IDLE_TIMEOUT`].
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts the task that sends frames to a peer from a local address. It ends when the sender is dropped.
pub fn start(address: String, local: net::IpAddr) -> mpsc::Sender<Vec<u8>> {
    let (sender, queue) = mpsc::channel(QUEUE_LENGTH);
    actix::spawn(run(address, local, queue));
    sender
}

/// Connects when a frame is queued, and again after a connection failed.
async fn run(address: String, local: net::IpAddr, mut queue: mpsc::Receiver<Vec<u8>>) {
    let Ok(target) = address.parse::<net::SocketAddr>() else { return };
    while let Some(frame) = queue.recv().await {
        match time::timeout(CONNECT_TIMEOUT, keep_alive::TRAFFIC.connect(target, local)).await {
            Ok(Ok(stream)) => send_frames(&address, stream, frame, &mut queue).await,
            _ => time::sleep(RECONNECT_DELAY).await,
        }
    }
}

/// Sends frames until the connection is closed, is idle for too long, or is not acknowledged in time.
async fn send_frames(
    address: &str,
    stream: tokio::net::TcpStream,
    first: Vec<u8>,
    queue: &mut mpsc::Receiver<Vec<u8>>,
) {
    let mut framed = codec::Framed::new(stream, frame_codec());
    let mut unacknowledged = 0_usize;
    let mut next = Some(first);
    let mut last_active = time::Instant::now();
    loop {
        if let Some(frame) = next.take() {
            if unacknowledged == 0 {
                last_active = time::Instant::now();
            }
            unacknowledged += 1;
            let sent =
                time::timeout(ACKNOWLEDGEMENT_TIMEOUT, framed.send(bytes::Bytes::from(frame)))
                    .await;
            if !matches!(sent, Ok(Ok(()))) {
                return;
            }
        }
        let timeout = if unacknowledged > 0 { ACKNOWLEDGEMENT_TIMEOUT } else { IDLE_TIMEOUT };
        select! {
            frame = queue.recv() => match frame {
                Some(frame) => next = Some(frame),
                None => return,
            },
            acknowledged = receive_acknowledgement(&mut framed) => {
                if !acknowledged {
                    return;
                }
                unacknowledged = unacknowledged.saturating_sub(1);
                last_active = time::Instant::now();
            }
            () = time::sleep_until(last_active + timeout) => {
                if unacknowledged > 0 {
                    log::warn!("event=link_given_up to={address} unacknowledged={unacknowledged}");
                }
                return;
            }
        }
    }
}

/// Waits for the next frame. Returns whether it is an acknowledgement; if not, the peer closed the connection or sent
/// something else.
async fn receive_acknowledgement(framed: &mut Framed) -> bool {
    matches!(framed.next().await, Some(Ok(frame)) if frame.is_empty())
}

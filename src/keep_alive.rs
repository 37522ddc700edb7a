//! TCP keep-alive settings that detect half-open connections, on which nothing arrives or is acknowledged and which
//! neither side closes.
//!
//! The kernel probes idle connections, and closes a connection whose data stays unacknowledged. This takes no calls and
//! no threads, and readers and writers get an error.

use crate::logging;
use socket2::{SockRef, TcpKeepalive};
use std::os::fd::AsFd;
use std::time::Duration;
use std::{io, net};
use tokio::net::{TcpSocket, TcpStream};

/// How soon a connection whose peer does not respond is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepAlive {
    /// How long a connection is idle before it is probed, in whole seconds.
    pub idle: Duration,
    /// The time between two probes, in whole seconds.
    pub interval: Duration,
    /// The number of unacknowledged probes after which the connection is closed.
    pub probes: u32,
    /// How long data may stay unacknowledged before the connection is closed.
    pub unacknowledged: Duration,
}

/// For connections to the platform's store. An unresponsive peer is detected within 2 s, the kernel's minimum: this is
/// below the bounds on staleness that deployments have used. A probe that is lost on a working link costs one more
/// call.
pub const STORE: KeepAlive = KeepAlive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    probes: 1,
    unacknowledged: Duration::from_millis(1_500),
};

/// For connections between routers and to backend servers. An unresponsive peer is detected within 3 s. Closing such a
/// connection may lose an answer, so one lost probe is not enough.
pub const TRAFFIC: KeepAlive = KeepAlive {
    idle: Duration::from_secs(1),
    interval: Duration::from_secs(1),
    probes: 2,
    unacknowledged: Duration::from_secs(3),
};

/// For connections whose link seems lost, because no new ones are established over it. An unresponsive peer is detected
/// within 2 s, the kernel's minimum.
pub const LOST_LINK: KeepAlive =
    KeepAlive { probes: 1, unacknowledged: Duration::from_millis(1_500), ..TRAFFIC };

impl KeepAlive {
    /// Connects to `target` from the address `local`, unless that is unspecified, and applies the settings.
    pub async fn connect(
        self,
        target: net::SocketAddr,
        local: net::IpAddr,
    ) -> io::Result<TcpStream> {
        let socket = match target {
            net::SocketAddr::V4(_) => TcpSocket::new_v4()?,
            net::SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if !local.is_unspecified() {
            socket.bind(net::SocketAddr::new(local, 0))?;
        }
        let stream = socket.connect(target).await?;
        stream.set_nodelay(true)?;
        self.apply_to(&stream);
        Ok(stream)
    }

    /// Applies the settings to a connection. An error is logged and otherwise ignored.
    pub fn apply_to(self, connection: &impl AsFd) {
        let descriptor = connection.as_fd();
        let socket = SockRef::from(&descriptor);
        let probing = TcpKeepalive::new()
            .with_time(self.idle)
            .with_interval(self.interval)
            .with_retries(self.probes);
        let set = socket
            .set_tcp_keepalive(&probing)
            .and_then(|()| socket.set_tcp_user_timeout(Some(self.unacknowledged)));
        if let Err(error) = set {
            log::warn!("event=keep_alive_refused fault={}", logging::quoted(error));
        }
    }
}

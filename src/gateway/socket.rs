//! A TCP connection whose end can be detected, and which can be aborted, while another task reads from it.

use crate::keep_alive;
use futures_util::FutureExt;
use hyper::rt;
use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use std::{io, net};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How often a client connection is checked for its end while its request is being handled.
pub const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The most bytes that are read at once.
const READ_BYTES_MAX: usize = 8 << 10;
/// The most bytes that are read from a server before the end of a head: as many as `awc` reads behind the callers'
/// interface.
const HEAD_BYTES_MAX: usize = 128 << 10;
/// The most bytes that are read between two parts of a body: as many as `hyper` allows for the extensions of chunks or
/// for trailers, and what was read with their end. One thread parses them for all connections.
const BETWEEN_PARTS_BYTES_MAX: usize = (16 << 10) + READ_BYTES_MAX;

/// The most bytes that are kept of what a server sends while no request is under way: enough for a short head.
const SURPLUS_BYTES_MAX: usize = 2 << 10;

/// This side of a TCP connection. Clones share the connection.
#[derive(Clone, Debug)]
pub struct Socket(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    stream: TcpStream,
    aborted: Cell<bool>,
    /// The exchange that uses the connection.
    exchange: Cell<Option<Exchange>>,
    received_at: Cell<Instant>,
    /// Whether data that was to be written still waits for the peer.
    write_blocked: Cell<bool>,
    /// The bytes received since the exchange began or made progress, and the most that are allowed.
    unproductive_bytes: Cell<usize>,
    unproductive_bytes_max: Cell<usize>,
    /// Whether other tasks run before more is read: nothing shows that the last bytes were a part of an answer.
    yield_due: Cell<bool>,
    /// The exchange's request is not sent from then on, if nothing of it was sent before.
    send_before: Cell<Option<Instant>>,
    /// Whether a part of the exchange's request was sent.
    request_sent: Rc<Cell<bool>>,
    /// The first bytes that were received while no exchange used the connection, which had carried one before.
    surplus: Rc<RefCell<Vec<u8>>>,
    has_carried: Cell<bool>,
}

/// Tells whether the peer of a connection, which other tasks use, has closed it.
#[derive(Clone, Debug)]
pub struct PeerWatch(Weak<Inner>);

impl PeerWatch {
    /// Whether the connection has ended, at least in the direction from the peer.
    pub fn is_closed(&self) -> bool {
        self.0.upgrade().is_none_or(|inner| inner.is_closed_by_peer())
    }
}

/// What is known of an exchange on a connection.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// When the exchange began.
    pub began: Instant,
    /// Whether its request may be repeated at another server.
    pub repeatable: bool,
}

/// Watches and aborts a connection that other tasks use.
#[derive(Debug)]
pub struct ConnectionHandle {
    inner: Weak<Inner>,
    request_sent: Rc<Cell<bool>>,
    surplus: Rc<RefCell<Vec<u8>>>,
    /// Whether the exchange was told that the link is lost.
    reported_lost: Cell<bool>,
    /// Whether the exchange has still to learn that.
    link_lost: Cell<bool>,
    /// Whether the server was asked to stop the exchange's run, without a reply that it was not stopped.
    stop_asked: Cell<bool>,
    link_lost_changed: Notify,
}

impl ConnectionHandle {
    /// Whether any `Socket` for the connection still exists.
    pub fn in_use(&self) -> bool {
        self.inner.strong_count() > 0
    }

    /// The exchange that uses the connection, if there is one.
    pub fn exchange(&self) -> Option<Exchange> {
        self.inner.upgrade()?.exchange.get()
    }

    /// When data was last received on the connection, or else established; `None` if it is not in use.
    pub fn received_at(&self) -> Option<Instant> {
        Some(self.inner.upgrade()?.received_at.get())
    }

    /// Marks the connection as used by an exchange.
    pub fn begin_exchange(&self, repeatable: bool) {
        self.link_lost.set(false);
        self.reported_lost.set(false);
        self.stop_asked.set(false);
        self.request_sent.set(false);
        if let Some(inner) = self.inner.upgrade() {
            inner.send_before.set(None);
            inner.has_carried.set(true);
            inner.exchange.set(Some(Exchange { began: Instant::now(), repeatable }));
            inner.restart_count(HEAD_BYTES_MAX);
        }
    }

    /// Has the exchange's request not sent from `deadline` on, if nothing of it was sent before.
    pub fn send_before(&self, deadline: Instant) {
        if let Some(inner) = self.inner.upgrade() {
            inner.send_before.set(Some(deadline));
        }
    }

    /// Whether a part of the exchange's request was sent.
    pub fn request_sent(&self) -> bool {
        self.request_sent.get()
    }

    /// Returns the first bytes that were received while no exchange used the connection.
    pub fn take_surplus(&self) -> Vec<u8> {
        self.surplus.take()
    }

    /// Records that the head of the answer or a part of its body was received.
    pub fn record_progress(&self) {
        if let Some(inner) = self.inner.upgrade() {
            inner.restart_count(BETWEEN_PARTS_BYTES_MAX);
        }
    }

    /// Marks the connection as idle.
    pub fn end_exchange(&self) {
        if let Some(inner) = self.inner.upgrade() {
            inner.exchange.set(None);
        }
    }

    /// Tells the exchange that the link is lost, unless it was told already, and has the kernel find out soon whether
    /// this connection still works.
    pub fn report_link_lost(&self) {
        if !self.reported_lost.replace(true) {
            self.link_lost.set(true);
            self.link_lost_changed.notify_one();
            if let Some(inner) = self.inner.upgrade() {
                keep_alive::LOST_LINK.apply_to(&inner.stream);
            }
        }
    }

    /// Has the exchange be told again if its link is still lost.
    pub fn forget_link_lost(&self) {
        self.reported_lost.set(false);
    }

    /// Records that the server was asked to stop the exchange's run and may have done so.
    pub fn record_stop_asked(&self) {
        self.stop_asked.set(true);
    }

    /// Whether the server may have stopped the exchange's run because it was asked to.
    pub fn stop_asked(&self) -> bool {
        self.stop_asked.get()
    }

    /// Returns once the link of the exchange is reported as lost.
    pub async fn link_lost(&self) {
        while !self.link_lost.take() {
            self.link_lost_changed.notified().await;
        }
    }

    /// Tells the peer that nothing more is sent. What it still sends is received.
    pub fn close_sending(&self) {
        if let Some(inner) = self.inner.upgrade() {
            // An error means that the connection has ended already.
            let _ = socket2::SockRef::from(&inner.stream).shutdown(net::Shutdown::Write);
        }
    }

    /// Aborts the connection. Its readers get an error instead of an end of file, because the data is incomplete.
    pub fn abort(&self) {
        let Some(inner) = self.inner.upgrade() else { return };
        inner.aborted.set(true);
        // An error means that the peer has closed the connection already: nothing waits for its data then.
        let _ = socket2::SockRef::from(&inner.stream).shutdown(net::Shutdown::Both);
    }
}

impl Socket {
    /// Wraps an established connection.
    pub fn new(stream: TcpStream) -> Self {
        // Without Nagle's algorithm small events are sent without delay.
        let _ = stream.set_nodelay(true);
        Self(Rc::new(Inner {
            stream,
            aborted: Cell::new(false),
            exchange: Cell::new(None),
            received_at: Cell::new(Instant::now()),
            write_blocked: Cell::new(false),
            unproductive_bytes: Cell::new(0),
            unproductive_bytes_max: Cell::new(HEAD_BYTES_MAX),
            yield_due: Cell::new(false),
            send_before: Cell::new(None),
            request_sent: Rc::default(),
            surplus: Rc::default(),
            has_carried: Cell::new(false),
        }))
    }

    /// A handle that can watch and abort the connection and does not keep it open.
    pub fn handle(&self) -> ConnectionHandle {
        ConnectionHandle {
            inner: Rc::downgrade(&self.0),
            request_sent: self.0.request_sent.clone(),
            surplus: self.0.surplus.clone(),
            reported_lost: Cell::new(false),
            link_lost: Cell::new(false),
            stop_asked: Cell::new(false),
            link_lost_changed: Notify::new(),
        }
    }

    /// Whether data that was to be written still waits for the peer to take what was sent before.
    pub fn write_blocked(&self) -> bool {
        self.0.write_blocked.get()
    }

    /// Tells whether the peer has closed the connection, without keeping it open.
    pub fn peer_watch(&self) -> PeerWatch {
        PeerWatch(Rc::downgrade(&self.0))
    }

    /// Returns once the peer has closed the connection, even if data from it is still unread.
    pub async fn closed_by_peer(&self) {
        loop {
            tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
            if self.0.is_closed_by_peer() {
                return;
            }
        }
    }
}

impl Inner {
    fn is_closed_by_peer(&self) -> bool {
        match self.stream.ready(Interest::READABLE).now_or_never() {
            Some(Ok(ready)) => ready.is_read_closed() || ready.is_error(),
            Some(Err(_)) | None => false,
        }
    }

    /// An error if the exchange's request is too late to be sent.
    fn check_send_time(&self) -> io::Result<()> {
        match self.send_before.get() {
            Some(deadline) if Instant::now() >= deadline => Err(io::ErrorKind::TimedOut.into()),
            _ => Ok(()),
        }
    }

    fn record_request_sent(&self) {
        self.send_before.set(None);
        self.request_sent.set(true);
    }

    fn restart_count(&self, bytes_max: usize) {
        self.unproductive_bytes.set(0);
        self.unproductive_bytes_max.set(bytes_max);
        self.yield_due.set(false);
    }

    /// Keeps bytes that a server sent after an exchange. Connections of clients have no exchange.
    fn keep_surplus(&self, received: &[u8]) {
        if self.has_carried.get() {
            let mut surplus = self.surplus.borrow_mut();
            let room = SURPLUS_BYTES_MAX - surplus.len();
            surplus.extend_from_slice(&received[..received.len().min(room)]);
        }
    }

    /// Counts received bytes, or keeps them if no exchange is under way; an error if an exchange with a server has received
    /// too many without progress.
    fn check_progress(&self, received: &[u8]) -> io::Result<()> {
        self.yield_due.set(true);
        if self.exchange.get().is_none() {
            self.keep_surplus(received);
            return Ok(());
        }
        let unproductive_bytes = self.unproductive_bytes.get() + received.len();
        self.unproductive_bytes.set(unproductive_bytes);
        match unproductive_bytes > self.unproductive_bytes_max.get() {
            true => Err(io::ErrorKind::InvalidData.into()),
            false => Ok(()),
        }
    }
}

impl rt::Read for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.0.yield_due.take() {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut chunk = [0; READ_BYTES_MAX];
        let length_max = chunk.len().min(buffer.remaining());
        loop {
            std::task::ready!(self.0.stream.poll_read_ready(context))?;
            if self.0.aborted.get() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            match self.0.stream.try_read(&mut chunk[..length_max]) {
                Ok(length) => {
                    self.0.received_at.set(Instant::now());
                    self.0.check_progress(&chunk[..length])?;
                    buffer.put_slice(&chunk[..length]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl rt::Write for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.check_send_time()?;
        self.0.write_blocked.set(true);
        loop {
            std::task::ready!(self.0.stream.poll_write_ready(context))?;
            match self.0.stream.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.0.write_blocked.set(false);
                    if result.is_ok() {
                        self.0.record_request_sent();
                    }
                    return Poll::Ready(result);
                }
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        use std::os::fd::AsFd;
        let descriptor = self.0.stream.as_fd();
        let socket = socket2::SockRef::from(&descriptor);
        let _ = socket.shutdown(net::Shutdown::Write);
        Poll::Ready(Ok(()))
    }
}

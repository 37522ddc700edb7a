//! Allocation of listening ports for test processes.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU16, Ordering};

/// Lies below the default ephemeral range, so that no outgoing connection gets the port of a process that restarts.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Returns an address with no listener. Successive calls return different ports until the range wraps around.
///
/// The probe connects instead of binding: a child process would inherit a bound socket and keep the port in use until
/// it calls exec, even after the parent has closed the socket.
pub fn free_address(ip: IpAddr) -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::new(ip, PORT_RANGE.start + offset % PORT_RANGE.len() as u16);
        match TcpStream::connect(address) {
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Ok(address),
            Err(error) => return Err(error),
        }
    }
}

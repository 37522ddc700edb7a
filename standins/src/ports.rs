//! Allocation of listening ports for test processes.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::process;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// Lies below the default ephemeral range, so that no outgoing connection gets the port of a process that restarts.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// A factor that spreads the first ports of test processes with successive ids, coprime to the length of the range.
const PROCESS_STRIDE: u32 = 6_997;

/// Returns an address with no listener. Each process starts elsewhere in the range, because between this call and the
/// start of a listener another process could find the same port free. Successive calls return different ports until the
/// range wraps around.
///
/// The probe connects instead of binding: a child process would inherit a bound socket and keep the port in use until
/// it calls exec, even after the parent has closed the socket.
pub fn free_address(ip: IpAddr) -> io::Result<SocketAddr> {
    static NEXT: LazyLock<AtomicU16> = LazyLock::new(|| {
        let range = u32::from(PORT_RANGE.end - PORT_RANGE.start);
        let first = (process::id() % range) * PROCESS_STRIDE % range;
        AtomicU16::new(first as u16)
    });
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

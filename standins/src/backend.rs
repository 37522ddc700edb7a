//! A server of the users' platform, byte by byte: each request gets the answer that the test wants,
//! broken in whatever way.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use std::{net, thread};

/// How long a quiet read lasts before the server looks whether it should end.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// How exactly the end of a listening socket is timed.
const ENDING_LOOK: Duration = Duration::from_micros(200);

/// By then the acceptor has seen that its server crashed, and closed the listener.
const LISTENER_ENDS: Duration = Duration::from_millis(15);

/// A request as it arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// The method, path and version.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// The connection that it came on, counted from 0.
    pub connection: usize,
}

impl Seen {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// The client's id of it.
    pub fn id(&self) -> Option<&str> {
        self.header("attempt-id")
    }
}

/// A step of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Writes bytes; `{id}` stands for the request's own id.
    Write(String),
    /// Waits.
    Pause(Duration),
    /// Waits until the client of this server has closed the connection.
    AwaitClose,
    /// Ends the connection cleanly.
    Close,
    /// Ends the connection with a reset.
    Reset,
    /// Ends all connections and refuses new ones for so long, as a process does that crashes and is started again.
    Crash(Duration),
    /// The same, but its connections end first: for a while the kernel still takes new ones, which nobody serves and which
    /// end with the listening socket.
    CrashListenerLast {
        /// How long the listening socket outlives the connections.
        listens_for: Duration,
        /// How long it refuses connections then.
        down: Duration,
    },
}

/// Decides over a request; the number counts the requests of this server.
pub type Script = Box<dyn FnMut(usize, &Seen) -> Vec<Step> + Send>;

/// The running server.
pub struct Backend {
    address: net::SocketAddr,
    shared: Arc<Shared>,
    acceptor: Option<thread::JoinHandle<()>>,
}

struct Shared {
    state: Mutex<State>,
    ended: AtomicBool,
}

struct State {
    script: Script,
    seen: Vec<Seen>,
    /// When each request of `seen` came.
    arrivals: Vec<Instant>,
    closed_by_client: usize,
    /// Open connections, by their numbers.
    connections: HashMap<usize, net::TcpStream>,
    crashes: Vec<Instant>,
    /// When its listening socket closes, and for how long that stays so.
    closes: Option<(Instant, Duration)>,
    /// Until when it refuses connections.
    down_until: Option<Instant>,
    /// How often it has listened.
    starts: usize,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Backend {
    /// Starts a server on a free port of loopback.
    pub fn start(script: Script) -> io::Result<Self> {
        let listener = net::TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State {
            script,
            seen: Vec::new(),
            arrivals: Vec::new(),
            closed_by_client: 0,
            connections: HashMap::new(),
            crashes: Vec::new(),
            closes: None,
            down_until: None,
            starts: 1,
        });
        let shared = Arc::new(Shared { state, ended: AtomicBool::new(false) });
        let accepting = shared.clone();
        let acceptor = thread::spawn(move || accept(listener, address, &accepting));
        Ok(Self { address, shared, acceptor: Some(acceptor) })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// All requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.shared.lock().seen.clone()
    }

    /// When each of them came.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.shared.lock().arrivals.clone()
    }

    /// When it crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.shared.lock().crashes.clone()
    }

    /// How often it has started; a crash is followed by a start.
    pub fn starts(&self) -> usize {
        self.shared.lock().starts
    }

    /// How many steps [`Step::AwaitClose`] saw their connection closed.
    pub fn closed_by_client(&self) -> usize {
        self.shared.lock().closed_by_client
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.shared.ended.store(true, Ordering::Relaxed);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

fn accept(listener: net::TcpListener, address: net::SocketAddr, shared: &Arc<Shared>) {
    let mut threads = Vec::new();
    let mut listener = Some(listener);
    while !shared.ended.load(Ordering::Relaxed) {
        let Some(down_until) = close_in_time(shared) else {
            // The process is ending: it accepts nothing any more.
            thread::sleep(ENDING_LOOK);
            continue;
        };
        match (down_until, &listener) {
            // Nothing listens: the kernel refuses connections.
            (Some(_), Some(_)) => listener = None,
            (Some(until), None) if Instant::now() >= until => {
                listener = listen_again(address, shared)
            }
            (Some(_), None) => thread::sleep(Duration::from_millis(2)),
            (None, Some(open)) => match open.accept() {
                Ok((stream, _)) => {
                    let (shared, connection) = (shared.clone(), threads.len());
                    threads.push(thread::spawn(move || {
                        let _ = serve(stream, connection, &shared);
                        // The last handle: only now the connection ends.
                        shared.lock().connections.remove(&connection);
                    }));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            },
            (None, None) => return,
        }
    }
    for thread in threads {
        let _ = thread.join();
    }
}

/// Until when the server is down, if it is; `None` while only its listening socket is left.
fn close_in_time(shared: &Shared) -> Option<Option<Instant>> {
    let mut state = shared.lock();
    if let Some((at, down)) = state.closes {
        if Instant::now() < at {
            return None;
        }
        state.closes = None;
        state.down_until = Some(Instant::now() + down);
    }
    Some(state.down_until)
}

/// The next life's listener; `None` while its address is not free yet.
fn listen_again(address: net::SocketAddr, shared: &Shared) -> Option<net::TcpListener> {
    let listener = net::TcpListener::bind(address).ok()?;
    listener.set_nonblocking(true).ok()?;
    let mut state = shared.lock();
    state.down_until = None;
    state.starts += 1;
    Some(listener)
}

fn serve(stream: net::TcpStream, connection: usize, shared: &Shared) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    shared.lock().connections.insert(connection, stream.try_clone()?);
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(mut seen) = read_request(&mut reader, shared)? {
        seen.connection = connection;
        let steps = {
            let mut state = shared.lock();
            let number = state.seen.len();
            state.seen.push(seen.clone());
            state.arrivals.push(Instant::now());
            (state.script)(number, &seen)
        };
        for step in steps {
            if !carry_out(step, &seen, &mut writer, &mut reader, shared)? {
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Carries out a step; `false` ends the connection.
fn carry_out(
    step: Step,
    seen: &Seen,
    writer: &mut net::TcpStream,
    reader: &mut BufReader<net::TcpStream>,
    shared: &Shared,
) -> io::Result<bool> {
    match step {
        Step::Write(text) => {
            let id = seen.id().unwrap_or_default();
            writer.write_all(text.replace("{id}", id).as_bytes())?;
        }
        Step::Pause(time) => thread::sleep(time),
        Step::AwaitClose => {
            if read_byte(reader, shared)?.is_none() {
                shared.lock().closed_by_client += 1;
            }
            return Ok(false);
        }
        Step::Close => return Ok(false),
        Step::Reset => {
            socket2::SockRef::from(&*writer).set_linger(Some(Duration::ZERO))?;
            return Ok(false);
        }
        Step::Crash(down) => {
            if let Some(connections) = end_life(down, None, shared) {
                thread::sleep(LISTENER_ENDS);
                end_connections(connections)?;
            }
            return Ok(false);
        }
        Step::CrashListenerLast { listens_for, down } => {
            if let Some(connections) = end_life(down, Some(listens_for), shared) {
                end_connections(connections)?;
            }
            return Ok(false);
        }
    }
    Ok(true)
}

/// Ends the present life, unless that has happened; its connections. The listener goes at once, as all sockets of a process
/// do, or a while later.
fn end_life(
    down: Duration,
    listens_for: Option<Duration>,
    shared: &Shared,
) -> Option<HashMap<usize, net::TcpStream>> {
    let mut state = shared.lock();
    if state.down_until.is_some() || state.closes.is_some() {
        return None;
    }
    let now = Instant::now();
    state.crashes.push(now);
    match listens_for {
        None => state.down_until = Some(now + down),
        Some(listens_for) => state.closes = Some((now + listens_for, down)),
    }
    Some(std::mem::take(&mut state.connections))
}

fn end_connections(connections: HashMap<usize, net::TcpStream>) -> io::Result<()> {
    for connection in connections.into_values() {
        // One that its client closed already cannot be shut down.
        if let Err(error) = connection.shutdown(net::Shutdown::Both)
            && error.kind() != io::ErrorKind::NotConnected
        {
            return Err(error);
        }
    }
    Ok(())
}

/// The next byte; `None` at the end of the connection or of the server.
fn read_byte(reader: &mut BufReader<net::TcpStream>, shared: &Shared) -> io::Result<Option<u8>> {
    loop {
        let mut byte = [0];
        match reader.read(&mut byte) {
            Ok(0) => return Ok(None),
            Ok(_) => return Ok(Some(byte[0])),
            Err(error) if is_timeout(&error) => {
                if shared.ended.load(Ordering::Relaxed) {
                    return Ok(None);
                }
            }
            // A reset is an end too.
            Err(_) => return Ok(None),
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn read_request(
    reader: &mut BufReader<net::TcpStream>,
    shared: &Shared,
) -> io::Result<Option<Seen>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match read_byte(reader, shared)? {
            Some(byte) => head.push(byte),
            None => return Ok(None),
        }
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.trim_end().lines();
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut seen = Seen { line, headers, ..Seen::default() };
    let length = seen.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    while seen.body.len() < length {
        match read_byte(reader, shared)? {
            Some(byte) => seen.body.push(byte),
            None => return Ok(None),
        }
    }
    Ok(Some(seen))
}

/// Reads what one connection of a client receives until it ends or falls quiet for a while.
pub fn drain(stream: &mut net::TcpStream) -> Vec<u8> {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut reader = BufReader::new(stream);
    let mut received = Vec::new();
    while let Ok(bytes) = reader.fill_buf().map(<[u8]>::to_vec) {
        if bytes.is_empty() {
            break;
        }
        reader.consume(bytes.len());
        received.extend(bytes);
    }
    received
}

/// A whole answer with a length.
pub fn whole(status: &str, body: &str) -> Step {
    whole_with(status, "", body)
}

/// The same with further lines of its head, each with its end.
pub fn whole_with(status: &str, lines: &str, body: &str) -> Step {
    Step::Write(format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {{id}}\r\nServer-Seal: seal\r\n{lines}Content-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}

/// The line in which a server names how many requests a second it takes; none if it names nothing.
pub fn limit_line(value: Option<&str>) -> String {
    value.map_or_else(String::new, |value| format!("Server-Limit: {value}\r\n"))
}

/// The line in which a server says that it leaves.
pub const LEAVING_LINE: &str = "Server-Leaving: 1\r\n";

/// The line in which a server asks to be left alone for so many seconds, or until a date.
pub fn retry_after_line(value: &str) -> String {
    format!("Retry-After: {value}\r\n")
}

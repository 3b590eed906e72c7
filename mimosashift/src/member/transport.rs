//! Frames between routers over UDP and TCP.
//!
//! Heartbeats are datagrams. Each request for configuration, and each push of
//! records too long for a datagram, uses a TCP connection of its own. Threads
//! and buffers are bounded; every read and write has a deadline.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use quick_error::quick_error;

use crate::resource::Name;
use crate::wire::{
    self, Frame, KeyRing, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, Message, ReplayFilter,
};

/// Time limit for a complete exchange on a connection.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Interval at which a waiting thread checks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of concurrent connections; further ones are closed
/// immediately.
const MAX_CONNECTIONS: usize = 32;

/// Size of the length prefix of a frame on a stream.
const LENGTH_BYTES: usize = 4;

quick_error! {
    /// Reason why a frame could not be exchanged.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro does not accept doc comments on fields.
    pub enum Error {
        /// The socket failed or timed out.
        Io(error: io::Error) {
            from()
            source(error)
            display("{}", error)
        }
        /// A frame was rejected.
        Frame(error: wire::Error) {
            from()
            source(error)
            display("{}", error)
        }
        /// The frame had been received before.
        Replayed {
            display("frame has already been received")
        }
    }
}

/// Handles a received frame and returns the response, if there is one.
pub type Handler = dyn Fn(Frame) -> Option<Message> + Send + Sync;

/// Sockets of a router. Dropping it stops its threads.
pub struct Transport {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    socket: UdpSocket,
    key_ring: KeyRing,
    sender: Name,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    /// The only lock of the transport; no handler runs while it is held.
    replay_filter: Mutex<ReplayFilter>,
    refused: AtomicU64,
    sent_bytes: AtomicU64,
    connections: AtomicUsize,
    stopping: AtomicBool,
    handler: Box<Handler>,
}

impl Transport {
    /// Listens for datagrams and connections on `address`, whose port must not
    /// be 0.
    pub fn bind(
        address: SocketAddr,
        key_ring: KeyRing,
        sender: Name,
        incarnation: u64,
        handler: Box<Handler>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            socket,
            key_ring,
            sender,
            incarnation: AtomicU64::new(incarnation),
            sequence: AtomicU64::new(0),
            replay_filter: Mutex::default(),
            refused: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            connections: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            handler,
        });
        let datagrams = spawn("member-udp", &shared, |shared| shared.read_datagrams())?;
        let streams = spawn("member-tcp", &shared, move |shared| shared.accept(&listener))?;
        Ok(Self { shared, threads: vec![datagrams, streams] })
    }

    /// Sets the incarnation of later frames; it changes after a pause of the
    /// process.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.shared.incarnation.store(incarnation, Ordering::Relaxed);
    }

    /// Number of frames refused: malformed, forged, replayed or above a limit.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Bytes of frames sent, without the headers of IP, UDP and TCP.
    pub fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }

    /// Sends a message as one datagram, without guarantee of delivery.
    pub fn send(&self, to: SocketAddr, message: Message) -> Result<(), Error> {
        let bytes = self.shared.seal(message, MAX_DATAGRAM_BYTES)?;
        self.shared.socket.send_to(&bytes, to)?;
        Ok(())
    }

    /// Sends a message over a new connection and waits for the response; `None`
    /// if the peer closes the connection without one.
    pub fn request(&self, to: SocketAddr, message: Message) -> Result<Option<Frame>, Error> {
        let deadline = Instant::now() + EXCHANGE_TIMEOUT;
        let mut stream = TcpStream::connect_timeout(&to, EXCHANGE_TIMEOUT)?;
        self.shared.write(&mut stream, message, deadline)?;
        self.shared.read(&mut stream, deadline)
    }
}

impl Shared {
    fn read_datagrams(&self) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while !self.stopping.load(Ordering::Relaxed) {
            // Besides timeouts, errors of earlier sends are reported here.
            let Ok((length, _)) = self.socket.recv_from(&mut buffer) else { continue };
            match self.open(&buffer[..length], MAX_DATAGRAM_BYTES) {
                Ok(frame) => drop((self.handler)(frame)),
                Err(_) => self.count_refused(),
            }
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.stopping.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => self.spawn_connection_handler(stream),
                Err(_) => thread::sleep(STOP_CHECK_INTERVAL / 10),
            }
        }
    }

    fn spawn_connection_handler(self: &Arc<Self>, stream: TcpStream) {
        if self.connections.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
            self.connections.fetch_sub(1, Ordering::Relaxed);
            self.count_refused();
            return;
        }
        let serve = move |shared: Arc<Self>| {
            if shared.serve(stream).is_err() {
                shared.count_refused();
            }
            shared.connections.fetch_sub(1, Ordering::Relaxed);
        };
        if spawn("member-serve", self, serve).is_err() {
            self.connections.fetch_sub(1, Ordering::Relaxed);
            self.count_refused();
        }
    }

    /// Handles the single request of a connection.
    fn serve(&self, mut stream: TcpStream) -> Result<(), Error> {
        stream.set_nonblocking(false)?;
        let deadline = Instant::now() + EXCHANGE_TIMEOUT;
        let Some(frame) = self.read(&mut stream, deadline)? else { return Ok(()) };
        if let Some(response) = (self.handler)(frame) {
            self.write(&mut stream, response, deadline)?;
        }
        Ok(())
    }

    fn seal(&self, message: Message, limit: usize) -> Result<Vec<u8>, Error> {
        let frame = Frame {
            sender: self.sender.clone(),
            incarnation: self.incarnation.load(Ordering::Relaxed),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            message,
        };
        let bytes = self.key_ring.seal(&frame, limit)?;
        self.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(bytes)
    }

    fn open(&self, bytes: &[u8], limit: usize) -> Result<Frame, Error> {
        let frame = self.key_ring.open(bytes, limit)?;
        let mut replay_filter = self.replay_filter.lock().unwrap_or_else(PoisonError::into_inner);
        if !replay_filter.accept(&frame.sender, frame.incarnation, frame.sequence) {
            return Err(Error::Replayed);
        }
        Ok(frame)
    }

    fn write(
        &self,
        stream: &mut TcpStream,
        message: Message,
        deadline: Instant,
    ) -> Result<(), Error> {
        let frame = self.seal(message, MAX_STREAM_BYTES)?;
        let length = u32::try_from(frame.len()).expect("MAX_STREAM_BYTES fits in 32 bits");
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(&frame);
        stream.set_write_timeout(Some(remaining(deadline)?))?;
        stream.write_all(&bytes)?;
        Ok(())
    }

    /// Reads a frame; `None` if the peer has closed the connection without one.
    fn read(&self, stream: &mut TcpStream, deadline: Instant) -> Result<Option<Frame>, Error> {
        let mut prefix = [0; LENGTH_BYTES];
        if !read_full(stream, &mut prefix, deadline)? {
            return Ok(None);
        }
        let length = usize::try_from(u32::from_be_bytes(prefix)).unwrap_or(usize::MAX);
        if length > MAX_STREAM_BYTES {
            return Err(wire::Error::TooLong { bytes: length, limit: MAX_STREAM_BYTES }.into());
        }
        let mut bytes = vec![0; length];
        if !read_full(stream, &mut bytes, deadline)? {
            return Err(wire::Error::Truncated.into());
        }
        self.open(&bytes, MAX_STREAM_BYTES).map(Some)
    }

    fn count_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

/// Fills the buffer; `false` if the stream ends before its first byte.
///
/// The deadline applies to the whole buffer, so that a peer that sends one byte
/// at a time cannot block the thread indefinitely.
fn read_full(stream: &mut TcpStream, buffer: &mut [u8], deadline: Instant) -> io::Result<bool> {
    let mut filled = 0;
    while filled < buffer.len() {
        stream.set_read_timeout(Some(remaining(deadline)?))?;
        match stream.read(&mut buffer[filled..]) {
            Ok(0) if filled == 0 => return Ok(false),
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(true)
}

fn remaining(deadline: Instant) -> io::Result<Duration> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() { Err(io::ErrorKind::TimedOut.into()) } else { Ok(remaining) }
}

fn spawn(
    name: &str,
    shared: &Arc<Shared>,
    run: impl FnOnce(Arc<Shared>) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let shared = shared.clone();
    thread::Builder::new().name(name.to_owned()).spawn(move || run(shared))
}

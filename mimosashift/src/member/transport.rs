//! Frames between routers over UDP and TCP.
//!
//! Heartbeats are datagrams; requests for configuration, and records too long
//! for a datagram, each take a short TCP connection. Threads and buffers are
//! bounded; every read and write has a deadline.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use quick_error::quick_error;

use crate::resource::Name;
use crate::wire::{self, Frame, MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, Message, Ring, Seen};

/// Time allowed for a whole exchange on a connection.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time after which a waiting thread looks whether it has to stop.
const STOP_INTERVAL: Duration = Duration::from_millis(100);

/// Most connections served at once; more are closed at once.
const MAX_CONNECTIONS: usize = 32;

/// Bytes of the length before a frame on a stream.
const LENGTH_BYTES: usize = 4;

quick_error! {
    /// Why a frame was not exchanged.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// The socket failed or timed out.
        Io(error: io::Error) {
            from()
            source(error)
            display("{}", error)
        }
        /// A frame was refused.
        Frame(error: wire::Error) {
            from()
            source(error)
            display("{}", error)
        }
        /// The frame was seen before.
        Replayed {
            display("frame was received before")
        }
    }
}

/// Takes in a frame and returns the answer, if it has one.
pub type Handler = dyn Fn(Frame) -> Option<Message> + Send + Sync;

/// The sockets of one router. Dropping it stops its threads.
pub struct Transport {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

struct Shared {
    socket: UdpSocket,
    ring: Ring,
    sender: Name,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    /// The only lock here; nothing is called while it is held.
    seen: Mutex<Seen>,
    refused: AtomicU64,
    sent_bytes: AtomicU64,
    connections: AtomicUsize,
    stopping: AtomicBool,
    handler: Box<Handler>,
}

impl Transport {
    /// Listens for datagrams and connections on `address`, which must name a
    /// port.
    pub fn bind(
        address: SocketAddr,
        ring: Ring,
        sender: Name,
        incarnation: u64,
        handler: Box<Handler>,
    ) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(STOP_INTERVAL))?;
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            socket,
            ring,
            sender,
            incarnation: AtomicU64::new(incarnation),
            sequence: AtomicU64::new(0),
            seen: Mutex::default(),
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

    /// Signs later frames with another incarnation, after a pause.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.shared.incarnation.store(incarnation, Ordering::Relaxed);
    }

    /// Frames refused so far: malformed, forged, replayed or too many.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Bytes of frames sent so far, without the headers of IP, UDP and TCP.
    pub fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }

    /// Sends a message as one datagram; it may be lost.
    pub fn send(&self, to: SocketAddr, message: Message) -> Result<(), Error> {
        let bytes = self.shared.seal(message, MAX_DATAGRAM_BYTES)?;
        self.shared.socket.send_to(&bytes, to)?;
        Ok(())
    }

    /// Sends a message over a connection and waits for the answer, `None`
    /// when the peer has none to give.
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
            // A timeout and errors of earlier sends end the wait alike.
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
                Ok((stream, _)) => self.start_serving(stream),
                Err(_) => thread::sleep(STOP_INTERVAL / 10),
            }
        }
    }

    fn start_serving(self: &Arc<Self>, stream: TcpStream) {
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

    /// Answers one request.
    fn serve(&self, mut stream: TcpStream) -> Result<(), Error> {
        stream.set_nonblocking(false)?;
        let deadline = Instant::now() + EXCHANGE_TIMEOUT;
        let Some(frame) = self.read(&mut stream, deadline)? else { return Ok(()) };
        if let Some(answer) = (self.handler)(frame) {
            self.write(&mut stream, answer, deadline)?;
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
        let bytes = self.ring.seal(&frame, limit)?;
        self.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        Ok(bytes)
    }

    fn open(&self, bytes: &[u8], limit: usize) -> Result<Frame, Error> {
        let frame = self.ring.open(bytes, limit)?;
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if !seen.accept(&frame.sender, frame.incarnation, frame.sequence) {
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
        let length = u32::try_from(frame.len()).expect("the bound of a frame fits 32 bits");
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend_from_slice(&frame);
        stream.set_write_timeout(Some(remaining(deadline)?))?;
        stream.write_all(&bytes)?;
        Ok(())
    }

    /// Reads a frame; `None` when the peer closed without one.
    fn read(&self, stream: &mut TcpStream, deadline: Instant) -> Result<Option<Frame>, Error> {
        let mut prefix = [0; LENGTH_BYTES];
        if !read_all(stream, &mut prefix, deadline)? {
            return Ok(None);
        }
        let length = usize::try_from(u32::from_be_bytes(prefix)).unwrap_or(usize::MAX);
        if length > MAX_STREAM_BYTES {
            return Err(wire::Error::TooLong { bytes: length, limit: MAX_STREAM_BYTES }.into());
        }
        let mut bytes = vec![0; length];
        if !read_all(stream, &mut bytes, deadline)? {
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
            // A panic of the thread has been reported by itself.
            let _ = thread.join();
        }
    }
}

/// Fills the buffer; `false` when the stream ends before its first byte.
///
/// The deadline covers the whole buffer, so that a peer which sends single
/// bytes cannot hold the thread.
fn read_all(stream: &mut TcpStream, buffer: &mut [u8], deadline: Instant) -> io::Result<bool> {
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

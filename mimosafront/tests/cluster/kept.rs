//! A client connection that is written to without a look whether it is still open.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::client::TestRequest;
use super::{HOST, WAIT_TIMEOUT};

pub struct KeptConnection(TcpStream);

/// What a client has received for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A complete response.
    Response(u16, String),
    /// The connection ended before a complete response.
    Nothing(Option<ErrorKind>),
}

impl Received {
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Response(status, _) => Some(*status),
            Self::Nothing(_) => None,
        }
    }
}

/// The request as bytes, with these header lines in addition.
pub fn encode(request: &TestRequest, lines: &str) -> Vec<u8> {
    let mut bytes = format!(
        "{} {} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {}\r\nrequest-deadline: 6000\r\n\
         authorization: Bearer {}\r\ncontent-length: {}\r\n{lines}\r\n",
        request.method,
        request.path,
        request.id,
        request.key,
        request.body.len(),
    )
    .into_bytes();
    bytes.extend_from_slice(&request.body);
    bytes
}

impl KeptConnection {
    pub fn open(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self(stream)
    }

    /// Sends a request and waits for its response.
    pub fn send(&mut self, request: &TestRequest) -> Received {
        self.send_bytes(&encode(request, ""))
    }

    /// Sends bytes and waits for a response.
    pub fn send_bytes(&mut self, bytes: &[u8]) -> Received {
        // A failed write shows when the response is read.
        drop(self.0.write_all(bytes));
        self.receive()
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }

    pub fn receive(&mut self) -> Received {
        let mut bytes = Vec::new();
        let mut buffer = [0; 4_096];
        loop {
            if let Some(received) = parse(&bytes) {
                return received;
            }
            match self.0.read(&mut buffer) {
                Ok(0) => return Received::Nothing(None),
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(error) => return Received::Nothing(Some(error.kind())),
            }
        }
    }

    /// Waits until the router closes the connection; returns how long that took.
    pub fn wait_until_closed(&mut self) -> Duration {
        let started = Instant::now();
        let mut buffer = [0; 64];
        match self.0.read(&mut buffer) {
            Ok(0) => started.elapsed(),
            other => panic!("expected the end of the connection, got {other:?}"),
        }
    }
}

impl Drop for KeptConnection {
    fn drop(&mut self) {
        // It may have been closed by the router.
        drop(self.0.shutdown(Shutdown::Both));
    }
}

/// A complete response with a length.
fn parse(bytes: &[u8]) -> Option<Received> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
    let length: usize = length.parse().ok()?;
    (body.len() >= length).then(|| Received::Response(status, body[..length].to_owned()))
}

//! A client's connection on which requests are written without a look at its state.

use std::io::{ErrorKind, Result};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::HOST;
use super::client::TestRequest;

/// Time after which a connection without an answer counts as ended.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a whole response; the connection may be used again.
    Kept,
    /// With a whole response that closes the connection.
    Closed,
    /// The connection took no bytes.
    NotWritten,
    /// The connection was reset before the response.
    Reset,
    /// The connection was closed before the response.
    EndOfStream,
    /// Within the response, or by a time-out.
    Truncated,
}

/// A persistent connection.
pub struct BlindConnection {
    stream: TcpStream,
    pub opened: Instant,
    pub requests: usize,
}

impl BlindConnection {
    pub async fn connect(to: SocketAddr) -> Option<Self> {
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(to)).await.ok()?.ok()?;
        Some(Self { stream, opened: Instant::now(), requests: 0 })
    }

    /// Whether the end of the connection has arrived here.
    pub fn is_closed_by_peer(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Writes a request and reads its response.
    pub async fn send(&mut self, request: &TestRequest) -> Ending {
        self.requests += 1;
        if self.stream.write_all(&to_bytes(request)).await.is_err() {
            return Ending::NotWritten;
        }
        let mut response = Vec::new();
        match timeout(ANSWER_TIMEOUT, self.read_response(&mut response)).await {
            Ok(Ok(ending)) => ending,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => Ending::Reset,
            Ok(Err(_)) | Err(_) => Ending::Truncated,
        }
    }

    async fn read_response(&mut self, response: &mut Vec<u8>) -> Result<Ending> {
        loop {
            if let Some(head) = whole_head(response) {
                let closes = head.contains("\r\nconnection: close");
                return Ok(if closes { Ending::Closed } else { Ending::Kept });
            }
            if self.stream.read_buf(response).await? == 0 {
                let is_empty = response.is_empty();
                return Ok(if is_empty { Ending::EndOfStream } else { Ending::Truncated });
            }
        }
    }
}

fn to_bytes(request: &TestRequest) -> Vec<u8> {
    let TestRequest { id, method, path, key, headers, body, timeout } = request;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\n\
         request-deadline: {}\r\nauthorization: Bearer {key}\r\ncontent-length: {}\r\n",
        timeout.as_millis(),
        body.len(),
    );
    headers.iter().for_each(|(name, value)| head += &format!("{name}: {value}\r\n"));
    [head.as_bytes(), b"\r\n", body].concat()
}

/// The head of a response, in lower case, once the response has been received as a whole.
fn whole_head(response: &[u8]) -> Option<String> {
    let end = response.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&response[..end]).to_ascii_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let is_whole = match length {
        Some(length) => response.len() - end >= length.trim().parse().unwrap(),
        None => response.ends_with(b"0\r\n\r\n"),
    };
    is_whole.then_some(head)
}

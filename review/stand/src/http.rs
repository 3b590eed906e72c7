//! HTTP/1.1 messages over plain TCP, without a library that would hide their bytes.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A connection with bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

/// The first line and the headers of a message; names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: HashMap<String, String>,
}

/// A message with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, unread: Vec::new() }
    }

    async fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.unread.extend_from_slice(&buffer[..count]);
        Ok(())
    }

    pub async fn head(&mut self) -> io::Result<Head> {
        let end = loop {
            if let Some(at) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            self.fill().await?;
        };
        let bytes: Vec<u8> = self.unread.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Head { first, headers })
    }

    async fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < count {
            self.fill().await?;
        }
        Ok(self.unread.drain(..count).collect())
    }

    async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.unread.windows(2).position(|window| window == b"\r\n") {
                let bytes: Vec<u8> = self.unread.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..at]).into_owned());
            }
            self.fill().await?;
        }
    }

    /// The next piece of a body; `None` after the last one.
    pub async fn piece(&mut self, left: &mut Body) -> io::Result<Option<Vec<u8>>> {
        match left {
            Body::Length(0) | Body::Ended => Ok(None),
            Body::Length(count) => {
                if self.unread.is_empty() {
                    self.fill().await?;
                }
                let take = self.unread.len().min(*count);
                *count -= take;
                Ok(Some(self.unread.drain(..take).collect()))
            }
            Body::Chunks => {
                let size = self.line().await?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let data = self.exactly(size).await?;
                self.line().await?;
                if size == 0 {
                    *left = Body::Ended;
                    return Ok(None);
                }
                Ok(Some(data))
            }
        }
    }

    pub async fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let (mut left, mut body) = (Body::of(head), Vec::new());
        while let Some(piece) = self.piece(&mut left).await? {
            body.extend(piece);
        }
        Ok(body)
    }

    pub async fn message(&mut self) -> io::Result<Message> {
        let head = self.head().await?;
        let body = self.body(&head).await?;
        Ok(Message { head, body })
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits until the peer closes the connection; what it sends meanwhile is dropped.
    pub async fn closed(&mut self) {
        while self.fill().await.is_ok() {
            self.unread.clear();
        }
    }
}

/// What is left of a body.
pub enum Body {
    Length(usize),
    Chunks,
    Ended,
}

impl Body {
    pub fn of(head: &Head) -> Self {
        if head.get("transfer-encoding").is_some() {
            return Self::Chunks;
        }
        Self::Length(head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0))
    }
}

/// A response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    (text + "\r\n" + body).into_bytes()
}

/// Connects within a second, as the clients of the pages do.
pub async fn connect(address: std::net::SocketAddr) -> io::Result<Connection> {
    match timeout(Duration::from_secs(1), TcpStream::connect(address)).await {
        Ok(stream) => Ok(Connection::new(stream?)),
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

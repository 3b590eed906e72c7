//! A client that reads responses byte by byte, by its own reading of their framing.

use std::io::{ErrorKind, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};

use hyper::Method;
use hyper::header::{HeaderMap, HeaderName};
use socket2::SockRef;

use super::client::{TestRequest, TestResponse};
use super::{HOST, WAIT_TIMEOUT};

/// Version of HTTP that a client speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    Http10,
    Http11,
}

/// How much of a response has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// More may follow.
    Open,
    Closed,
    Reset,
}

/// A client that keeps its connection as long as responses on it are complete.
pub struct RawClient {
    to: SocketAddr,
    version: Version,
    kept: Option<TcpStream>,
}

impl RawClient {
    pub fn new(to: SocketAddr, version: Version) -> Self {
        Self { to, version, kept: None }
    }

    /// Sends a request; `None` if no whole head was received.
    pub fn send(&mut self, request: &TestRequest) -> Option<TestResponse> {
        let kept = self.kept.take().filter(is_open);
        let mut stream = kept.unwrap_or_else(|| self.connect());
        let (mut bytes, mut end) = (Vec::new(), End::Open);
        // A failed write shows when the response is read.
        drop(stream.write_all(&self.encode(request)));
        let mut buffer = [0; 4_096];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => end = End::Closed,
                Ok(length) => bytes.extend_from_slice(&buffer[..length]),
                Err(error) if error.kind() == ErrorKind::ConnectionReset => end = End::Reset,
                Err(error) => panic!("{} is not answered: {error}", request.id),
            }
            let response = decode(&bytes, &request.method, end);
            let is_complete = response.as_ref().is_some_and(|response| response.complete);
            if end == End::Open && is_complete {
                self.kept = (self.version == Version::Http11).then_some(stream);
                return response;
            }
            if end != End::Open {
                return response;
            }
        }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.to).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        stream
    }

    fn encode(&self, request: &TestRequest) -> Vec<u8> {
        let TestRequest { id, method, path, key, headers, body, timeout } = request;
        let version = match self.version {
            Version::Http10 => "HTTP/1.0",
            Version::Http11 => "HTTP/1.1",
        };
        let mut head = format!(
            "{method} {path} {version}\r\nhost: {HOST}\r\nrequest-id: {id}\r\n\
             request-deadline: {}\r\nauthorization: Bearer {key}\r\ncontent-length: {}\r\n",
            timeout.as_millis(),
            body.len(),
        );
        headers.iter().for_each(|(name, value)| head += &format!("{name}: {value}\r\n"));
        [head.as_bytes(), b"\r\n", body].concat()
    }
}

/// Whether the other side has neither closed the connection nor sent anything.
fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    stream.set_nonblocking(false).unwrap();
    matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// The response received so far, once its head is whole.
fn decode(bytes: &[u8], method: &Method, end: End) -> Option<TestResponse> {
    let head_length = find(bytes, b"\r\n\r\n")?;
    let head = std::str::from_utf8(&bytes[..head_length]).unwrap();
    let mut lines = head.split("\r\n");
    let status = lines.next().unwrap().split(' ').nth(1).unwrap().parse().unwrap();
    let fields = lines.map(|line| line.split_once(':').unwrap());
    let headers: HeaderMap = fields
        .map(|(name, value)| (name.parse::<HeaderName>().unwrap(), value.trim().parse().unwrap()))
        .collect();
    let received = &bytes[head_length + 4..];
    let length = headers.get("content-length").map(|length| length.to_str().unwrap().parse());
    let (body, complete) = match length {
        _ if method == Method::HEAD || matches!(status, 204 | 304) => (received.to_vec(), true),
        _ if headers.contains_key("transfer-encoding") => decode_chunks(received),
        Some(length) => (received.to_vec(), received.len() >= length.unwrap()),
        None => (received.to_vec(), end == End::Closed),
    };
    let body = String::from_utf8(body).unwrap();
    Some(TestResponse { status, headers, body, complete })
}

/// The data of chunks, and whether the last one has been received.
fn decode_chunks(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut data = Vec::new();
    while let Some(line) = find(bytes, b"\r\n") {
        let size = std::str::from_utf8(&bytes[..line]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        bytes = &bytes[line + 2..];
        if size == 0 {
            return (data, bytes.ends_with(b"\r\n"));
        }
        data.extend_from_slice(&bytes[..size.min(bytes.len())]);
        let Some(rest) = bytes.get(size + 2..) else { break };
        bytes = rest;
    }
    (data, false)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

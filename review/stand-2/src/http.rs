//! HTTP/1.1 messages over blocking sockets, for stand-ins that control each byte.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the body arrived to the end that its framing gives.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| &**value)
    }

    /// Path with query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

/// Reads a message; `None` if the peer closed the channel before one began.
pub fn read(from: &mut BufReader<TcpStream>, is_response: bool) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if read_line(from, &mut message.start)? == 0 {
        return Ok(None);
    }
    loop {
        let mut line = String::new();
        if read_line(from, &mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.split_once(':') else { break };
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let is_chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    let length = message.header("content-length").and_then(|text| text.parse::<u64>().ok());
    if is_chunked {
        message.is_whole = read_chunks(from, &mut message.body).is_ok();
    } else if let Some(length) = length {
        from.take(length).read_to_end(&mut message.body)?;
        message.is_whole = message.body.len() as u64 == length;
    } else if is_response {
        message.is_whole = from.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_whole = true;
    }
    Ok(Some(message))
}

fn read_line(from: &mut BufReader<TcpStream>, line: &mut String) -> io::Result<usize> {
    let count = from.read_line(line)?;
    line.truncate(line.trim_end_matches(['\r', '\n']).len());
    Ok(count)
}

fn read_chunks(from: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        read_line(from, &mut line)?;
        let size = u64::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let before = body.len();
        from.take(size).read_to_end(body)?;
        if (body.len() - before) as u64 != size {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut end = String::new();
        if read_line(from, &mut end)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if size == 0 {
            return Ok(());
        }
    }
}

/// Encodes a message with a length.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = head(start, headers);
    bytes.truncate(bytes.len() - 2);
    bytes.extend(format!("content-length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend(body);
    bytes
}

/// Encodes the head of a message.
pub fn head(start: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "\r\n";
    text.into_bytes()
}

/// Sends a request on a channel of its own; an error if no head of an answer arrives.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let answer = read(&mut reader, true)?;
    drop(reader.get_ref().shutdown(Shutdown::Both));
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Waits until `check` holds.
pub fn wait_for(what: &str, limit: Duration, check: impl Fn() -> bool) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !check() {
        if Instant::now() > end {
            return Err(format!("{what}: not within {} s", limit.as_secs()));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are forwarded, so that an interrupted stream can be
//! resumed after the last one without gaps or duplicates.

use std::mem;

/// Maximum size of an incomplete event; more bytes without an event end are not
/// an event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The empty line after an event, with either line ending.
const EVENT_TERMINATORS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

/// Splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    /// Length of the part of `partial` that holds no event end.
    searched: usize,
    /// Id after which the client asked for the stream.
    start: Option<u64>,
    /// Id of the last event forwarded.
    last: Option<u64>,
    /// Id up to which a resumed stream may repeat events that were forwarded before.
    repeated: Option<u64>,
}

/// Complete events to forward.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Concatenated bytes of the events.
    pub bytes: Vec<u8>,
    /// Number of events.
    pub count: usize,
}

/// Why bytes are no event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidStream {
    /// An incomplete event exceeds [`MAX_EVENT_BYTES`].
    EventTooLong,
    /// A line is not a field, as in the head of another response that was sent within a
    /// body without a length.
    NoField,
}

impl InvalidStream {
    /// Reason in logs.
    pub const fn label(self) -> &'static str {
        match self {
            Self::EventTooLong => "event too long",
            Self::NoField => "other bytes among the events",
        }
    }
}

impl EventSplitter {
    /// Begins a stream that the client has asked for after the event with id `start`.
    pub const fn after(start: Option<u64>) -> Self {
        Self { partial: Vec::new(), searched: 0, start, last: None, repeated: None }
    }

    /// Id of the last event forwarded, or of that after which the client has asked.
    pub fn last(&self) -> Option<u64> {
        self.last.or(self.start)
    }

    /// Begins the rest of an interrupted stream at another endpoint, which may repeat events
    /// that were forwarded. The incomplete event is discarded.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.searched = 0;
        self.repeated = self.last;
    }

    /// Whether the bytes after the last complete event are the start of another
    /// one, so that a stream that ends here has been broken off.
    pub fn is_inside_event(&self) -> bool {
        starts_event(&self.partial)
    }

    /// Number of buffered bytes after the last complete event.
    pub const fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Number of bytes that the buffer of incomplete events takes.
    pub const fn capacity(&self) -> usize {
        self.partial.capacity()
    }

    /// Appends bytes and returns the events that they complete. The ids of an endpoint's own
    /// stream may repeat or fall; only after it was resumed, the events up to the last one
    /// forwarded are left out. An invalid one fails the call after those before it were returned.
    pub fn push(&mut self, bytes: &[u8]) -> Result<CompleteEvents, InvalidStream> {
        self.partial.extend_from_slice(bytes);
        let mut complete = CompleteEvents::default();
        let mut from = 0;
        while let Some(length) = event_length(&self.partial[from..], self.searched) {
            self.searched = 0;
            let event = &self.partial[from..from + length];
            if !is_event(event) {
                if complete.count == 0 {
                    return Err(InvalidStream::NoField);
                }
                self.partial.drain(..from);
                return Ok(complete);
            }
            let id = event_id(event);
            let is_repeated = id.is_some() && id <= self.repeated;
            if !is_repeated {
                complete.bytes.extend_from_slice(event);
                complete.count += 1;
                if id.is_some() {
                    (self.last, self.repeated) = (id, None);
                }
            }
            from += length;
        }
        self.partial.drain(..from);
        self.searched = self.partial.len();
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(InvalidStream::EventTooLong);
        }
        Ok(complete)
    }

    /// Takes the bytes after the last complete event, at the end of a stream.
    pub fn take_partial(&mut self) -> Vec<u8> {
        self.searched = 0;
        mem::take(&mut self.partial)
    }
}

/// Whether each line is empty, a comment or a field.
fn is_event(bytes: &[u8]) -> bool {
    bytes.split(|byte| *byte == b'\n').all(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        let is_name = |byte: &u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
        line.is_empty() || line[0] == b':' || name.iter().all(is_name)
    })
}

/// Whether bytes without a complete event hold a field or part of a line. Empty
/// lines and comments do not belong to an event.
fn starts_event(bytes: &[u8]) -> bool {
    let Some(lines) = bytes.strip_suffix(b"\n") else { return !bytes.is_empty() };
    lines.split(|byte| *byte == b'\n').any(|line| !matches!(line, b"" | b"\r" | [b':', ..]))
}

/// Length of the first event, including the empty line that ends it, which is
/// not within the first `searched` bytes.
fn event_length(bytes: &[u8], searched: usize) -> Option<usize> {
    let end = |end: &[u8]| {
        let from = (searched + 1).saturating_sub(end.len());
        let mut windows = bytes[from..].windows(end.len());
        windows.position(|window| window == end).map(|at| from + at + end.len())
    };
    EVENT_TERMINATORS.into_iter().filter_map(end).min()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:")).and_then(|id| id.trim().parse().ok())
}

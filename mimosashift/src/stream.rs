//! Events of a stream: cut whole from the bytes, counted, resumed once.
//!
//! Only whole events are passed on, so that a stream that breaks off can go
//! on after the last one with nothing missing and nothing twice.

use std::mem;

/// Bytes of an event that has not ended; a larger one is no event stream.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts a stream into events.
#[derive(Debug, Default)]
pub struct Events {
    partial: Vec<u8>,
    last: Option<u64>,
}

/// Whole events to pass on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Whole {
    /// Their bytes.
    pub bytes: Vec<u8>,
    /// How many they are.
    pub count: usize,
}

/// The bytes are no event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

impl Events {
    /// A stream of which the client has the events up to `last`.
    pub const fn after(last: Option<u64>) -> Self {
        Self { partial: Vec::new(), last }
    }

    /// The last event passed on.
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Forgets the event that was broken off, before the stream goes on.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    /// Whether bytes of an event are left that never ended.
    pub const fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Takes in bytes and returns the events that they complete, without
    /// those that were passed on before.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Whole, Oversized> {
        self.partial.extend_from_slice(bytes);
        let mut whole = Whole::default();
        let mut from = 0;
        while let Some(length) = event_length(&self.partial[from..]) {
            let event = &self.partial[from..from + length];
            let id = event_id(event);
            let repeated = id.is_some() && id <= self.last;
            if !repeated {
                whole.bytes.extend_from_slice(event);
                whole.count += 1;
                self.last = id.or(self.last);
            }
            from += length;
        }
        self.partial.drain(..from);
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(Oversized);
        }
        Ok(whole)
    }

    /// The bytes after the last whole event, at the end of a stream.
    pub fn rest(&mut self) -> Vec<u8> {
        mem::take(&mut self.partial)
    }
}

/// Length of the first event with the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let ends = [b"\n\n".as_slice(), b"\r\n\r\n".as_slice()];
    let end = |end: &[u8]| {
        bytes.windows(end.len()).position(|window| window == end).map(|at| at + end.len())
    };
    ends.into_iter().filter_map(end).min()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:")).and_then(|id| id.trim().parse().ok())
}

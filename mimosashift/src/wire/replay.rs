//! Protection against replayed frames.

use std::collections::HashMap;

use crate::resource::Name;

/// Sequence numbers, counted back from the highest, that are still accepted.
const WINDOW_SIZE: u64 = 128;

/// Maximum number of senders tracked.
const MAX_SENDERS: usize = 4_096;

/// Sliding window over the sequence numbers received from one sender.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if `highest - n` has been received.
    received: u128,
}

/// Replay windows of all senders.
///
/// Windows are keyed by name as well as incarnation, since routers that start
/// at the same time may share an incarnation number.
#[derive(Debug, Default)]
pub struct ReplayFilter {
    windows: HashMap<(u64, Name), ReplayWindow>,
}

impl ReplayWindow {
    /// Returns whether the sequence number is new, and marks it as received.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 {
            return false;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.received = if shift < WINDOW_SIZE { self.received << shift } else { 0 };
            self.received |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_SIZE || self.received & (1 << age) != 0 {
            return false;
        }
        self.received |= 1 << age;
        true
    }
}

impl ReplayFilter {
    /// Returns whether the frame is new, and marks it as received.
    pub fn accept(&mut self, sender: &Name, incarnation: u64, sequence: u64) -> bool {
        let key = (incarnation, sender.clone());
        if !self.windows.contains_key(&key) && self.windows.len() >= MAX_SENDERS {
            self.evict_oldest();
        }
        self.windows.entry(key).or_default().accept(sequence)
    }

    /// Removes the window with the lowest incarnation, which started first.
    fn evict_oldest(&mut self) {
        if let Some(oldest) = self.windows.keys().min().cloned() {
            self.windows.remove(&oldest);
        }
    }
}

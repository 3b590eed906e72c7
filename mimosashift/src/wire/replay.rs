//! Protection against replayed frames.

use std::collections::HashMap;

use crate::resource::Name;

/// Sequence numbers below the highest that may still arrive, once each.
const WINDOW: u64 = 128;

/// Most senders remembered.
const MAX_SENDERS: usize = 4_096;

/// Which sequence numbers of one sender have been seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    highest: u64,
    /// Bit `n` is set when `highest - n` has been seen.
    seen: u128,
}

/// Windows of all senders.
///
/// An incarnation alone does not tell senders apart: many start at once.
#[derive(Debug, Default)]
pub struct Seen {
    windows: HashMap<(u64, Name), Window>,
}

impl Window {
    /// Whether this number is new; it counts as seen afterwards.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == 0 {
            return false;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < WINDOW { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}

impl Seen {
    /// Whether the frame is new; it counts as seen afterwards.
    pub fn accept(&mut self, sender: &Name, incarnation: u64, sequence: u64) -> bool {
        let key = (incarnation, sender.clone());
        if !self.windows.contains_key(&key) && self.windows.len() >= MAX_SENDERS {
            self.forget_oldest();
        }
        self.windows.entry(key).or_default().accept(sequence)
    }

    /// Incarnations rise with time, so the lowest started first.
    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.windows.keys().min().cloned() {
            self.windows.remove(&oldest);
        }
    }
}

//! Protection against replayed frames.

use std::collections::HashMap;

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

/// Windows of all senders, by incarnation.
#[derive(Debug, Default)]
pub struct Seen {
    windows: HashMap<u64, Window>,
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
    pub fn accept(&mut self, incarnation: u64, sequence: u64) -> bool {
        let known = self.windows.contains_key(&incarnation);
        if !known && self.windows.len() >= MAX_SENDERS {
            self.forget_oldest();
        }
        self.windows.entry(incarnation).or_default().accept(sequence)
    }

    /// Incarnations rise with time, so the lowest belongs to the process that
    /// started first.
    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.windows.keys().min().copied() {
            self.windows.remove(&oldest);
        }
    }
}

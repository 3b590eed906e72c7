//! How much servers may fail: the limits of `srv_grey`.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::record::Record;

/// Share of its requests that a failing server fails at most, at each moment.
const SHARE: f64 = 0.4;

/// Length of one disruption, in ms.
const LENGTH: u64 = 6_500;

/// Pause between two disruptions, in ms.
const PAUSE: u64 = 3_500;

/// Disruptions of some servers, one after the other.
pub struct Dose {
    failing: usize,
    disruptions: u64,
    /// When the first one begins, in ms of the record.
    begins: AtomicU64,
    /// Requests of each server during the disruptions, and those of them that it failed.
    counts: Mutex<HashMap<usize, (u64, u64)>>,
}

impl Dose {
    /// The servers with numbers below `failing` fail requests during `disruptions`.
    pub fn new(failing: usize, disruptions: u64) -> Self {
        Self { failing, disruptions, begins: AtomicU64::new(u64::MAX), counts: Mutex::default() }
    }

    pub fn begin(&self, record: &Record) {
        self.begins.store(record.now_ms(), Ordering::Relaxed);
        record.line(&format!("{} disruptions of {LENGTH} ms begin", self.disruptions));
    }

    /// Whether a server fails the request that it gets now.
    pub fn fails(&self, server: usize, record: &Record) -> bool {
        let begins = self.begins.load(Ordering::Relaxed);
        let Some(since) = record.now_ms().checked_sub(begins) else { return false };
        let (number, within) = (since / (LENGTH + PAUSE), since % (LENGTH + PAUSE));
        if server >= self.failing || number >= self.disruptions || within >= LENGTH {
            return false;
        }
        let mut counts = self.counts.lock().unwrap();
        let (requests, failed) = counts.entry(server).or_default();
        *requests += 1;
        let fails = (*failed + 1) as f64 <= SHARE * *requests as f64;
        *failed += u64::from(fails);
        fails
    }

    /// What each failing server got and failed.
    pub fn describe(&self) -> String {
        let counts = self.counts.lock().unwrap();
        let mut list: Vec<_> = counts.iter().collect();
        list.sort();
        let words = list.iter().map(|(_, (requests, failed))| format!("{failed} of {requests}"));
        words.collect::<Vec<_>>().join(" and ")
    }
}

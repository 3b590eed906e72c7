//! The memory that buffered data may take, all of it together.
//!
//! Each answer and body has a limit of its own, which bounds no sum. What a router buffers for
//! others is therefore charged to one budget before it is kept. If the budget is used up, the
//! largest buffer that still grows is given up, so that an answer without end costs no other
//! request its memory; see `docs/design/memory.md`.

use std::collections::HashMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::body::Bytes;
use tokio::sync::Notify;

/// Part of the limit by which it may be exceeded until buffers that were given up are freed.
const FREEING_SHARE: usize = 4;

/// Part of the limit that is kept for small buffers, so that large answers that clients do not
/// read cost no event, report or call to the store its memory.
const SMALL_SHARE: usize = 4;

/// Largest size of a small buffer.
const SMALL_BYTES: usize = 64 * 1_024;

/// Smallest capacity of a buffer that holds anything.
const MIN_CAPACITY: usize = 1_024;

/// The memory is used up by larger buffers that cannot be given up, or this buffer is the one
/// that is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

impl fmt::Display for Exhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("memory for buffered data is used up")
    }
}

impl std::error::Error for Exhausted {}

/// A limit on the bytes of all charges.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<Account>>);

/// Use of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes that are charged.
    pub bytes: usize,
    /// Limit on these, which buffers that are being freed may exceed by a quarter.
    pub limit: usize,
    /// Number of buffers that were given up.
    pub given_up: u64,
}

#[derive(Debug)]
struct Account {
    usage: Usage,
    /// Bytes of charges that are revoked and not yet released.
    revoked_bytes: usize,
    next: u64,
    /// Charges that may be revoked.
    growing: HashMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    revocation: Arc<Revocation>,
}

#[derive(Debug, Default)]
struct Revocation {
    is_revoked: AtomicBool,
    wake: Notify,
}

/// Bytes of one buffer that are charged to a budget until this is dropped.
#[derive(Debug)]
pub struct Charge {
    budget: Budget,
    id: u64,
    revocation: Arc<Revocation>,
}

/// Bytes that are collected, and charged by their capacity.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    charge: Charge,
}

/// Complete bytes, charged until the last reference to them is dropped.
struct Held {
    bytes: Vec<u8>,
    budget: Budget,
    charged: usize,
}

impl Budget {
    /// A budget of that many bytes.
    pub fn new(limit: usize) -> Self {
        let usage = Usage { limit, ..Usage::default() };
        let growing = HashMap::new();
        Self(Arc::new(Mutex::new(Account { usage, revoked_bytes: 0, next: 0, growing })))
    }

    /// Changes the limit; nothing is given up until a buffer grows.
    pub fn set_limit(&self, limit: usize) {
        self.account().usage.limit = limit;
    }

    /// Its use.
    pub fn usage(&self) -> Usage {
        self.account().usage
    }

    /// A charge of no bytes.
    pub fn charge(&self) -> Charge {
        let mut account = self.account();
        let id = account.next;
        account.next += 1;
        let revocation = Arc::<Revocation>::default();
        account.growing.insert(id, Entry { bytes: 0, revocation: revocation.clone() });
        Charge { budget: self.clone(), id, revocation }
    }

    /// An empty buffer.
    pub fn buffer(&self) -> Buffer {
        Buffer { bytes: Vec::new(), charge: self.charge() }
    }

    /// Charges complete bytes.
    pub fn hold(&self, bytes: Vec<u8>) -> Result<Bytes, Exhausted> {
        let charged = bytes.capacity();
        self.account().reserve(None, charged)?;
        Ok(Bytes::from_owner(Held { bytes, budget: self.clone(), charged }))
    }

    fn account(&self) -> MutexGuard<'_, Account> {
        // No code that may panic runs under the lock.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Account {
    /// Charges `more` bytes, of the charge `own` if there is one. Revokes larger ones for that,
    /// the largest first.
    fn reserve(&mut self, own: Option<u64>, more: usize) -> Result<(), Exhausted> {
        let size = own.and_then(|id| self.growing.get(&id)).map_or(0, |entry| entry.bytes) + more;
        let kept = if size > SMALL_BYTES { self.usage.limit / SMALL_SHARE } else { 0 };
        loop {
            let limit = self.usage.limit - kept;
            let after = self.usage.bytes.saturating_add(more);
            if after - self.revoked_bytes <= limit && after <= limit + limit / FREEING_SHARE {
                self.usage.bytes = after;
                return Ok(());
            }
            let others = self.growing.iter().filter(|(id, entry)| {
                Some(**id) != own && entry.bytes > size && !entry.revocation.is_revoked()
            });
            let largest = others.max_by_key(|(_, entry)| entry.bytes);
            let Some((_, entry)) = largest else {
                self.usage.given_up += 1;
                return Err(Exhausted);
            };
            self.revoked_bytes += entry.bytes;
            self.usage.given_up += 1;
            entry.revocation.revoke();
        }
    }

    /// Reduces a charge to `bytes`, if it has more.
    fn shrink(&mut self, id: u64, bytes: usize) {
        let Some(entry) = self.growing.get_mut(&id) else { return };
        let released = entry.bytes.saturating_sub(bytes);
        entry.bytes -= released;
        if entry.revocation.is_revoked() {
            self.revoked_bytes -= released;
        }
        self.release(released);
    }

    const fn release(&mut self, bytes: usize) {
        self.usage.bytes -= bytes;
    }
}

impl Revocation {
    fn is_revoked(&self) -> bool {
        self.is_revoked.load(Ordering::Relaxed)
    }

    fn revoke(&self) {
        self.is_revoked.store(true, Ordering::Relaxed);
        self.wake.notify_one();
    }
}

impl Charge {
    /// Changes the number of bytes; fails if it grows and the memory is used up.
    pub fn resize(&self, bytes: usize) -> Result<(), Exhausted> {
        let mut account = self.budget.account();
        let before = account.growing.get(&self.id).map_or(0, |entry| entry.bytes);
        if bytes <= before {
            account.shrink(self.id, bytes);
            return Ok(());
        }
        if self.revocation.is_revoked() {
            return Err(Exhausted);
        }
        account.reserve(Some(self.id), bytes - before)?;
        if let Some(entry) = account.growing.get_mut(&self.id) {
            entry.bytes = bytes;
        }
        Ok(())
    }

    /// Releases all bytes.
    pub fn clear(&self) {
        self.budget.account().shrink(self.id, 0);
    }

    /// Whether its bytes are to be freed.
    pub fn is_revoked(&self) -> bool {
        self.revocation.is_revoked()
    }

    /// Waits until its bytes are to be freed.
    pub async fn revoked(&self) {
        while !self.is_revoked() {
            self.revocation.wake.notified().await;
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut account = self.budget.account();
        account.shrink(self.id, 0);
        account.growing.remove(&self.id);
    }
}

impl Buffer {
    /// Number of bytes.
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are none.
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Exhausted> {
        let needed = self.bytes.len() + bytes.len();
        if self.charge.is_revoked() {
            return Err(Exhausted);
        }
        if needed > self.bytes.capacity() {
            let capacity = needed.next_power_of_two().max(MIN_CAPACITY);
            self.charge.resize(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Waits until its bytes are to be freed.
    pub async fn revoked(&self) {
        self.charge.revoked().await;
    }

    /// The complete bytes, which are not given up any more.
    pub fn finish(self) -> Result<Bytes, Exhausted> {
        if self.bytes.is_empty() {
            return Ok(Bytes::new());
        }
        let Self { bytes, charge } = self;
        let budget = charge.budget.clone();
        // Released first, so that they are not charged twice.
        drop(charge);
        budget.hold(bytes)
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.account().release(self.charged);
    }
}

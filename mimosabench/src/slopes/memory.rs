//! Counts allocations, exactly and repeatably.

use std::alloc::System;

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counts every allocation of programs that link this library.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// What a piece of code allocated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    /// Bytes still held afterwards.
    pub retained: i64,
    /// Number of allocations, reallocations included.
    pub allocations: u64,
}

/// Runs `work` and counts what the whole process allocates meanwhile.
pub fn counted<T>(work: impl FnOnce() -> T) -> (T, Counted) {
    let before = ALLOCATOR.stats();
    let value = work();
    let after = ALLOCATOR.stats();
    let held =
        |stats: &stats_alloc::Stats| stats.bytes_allocated as i64 - stats.bytes_deallocated as i64;
    let calls = |stats: &stats_alloc::Stats| (stats.allocations + stats.reallocations) as u64;
    let counted = Counted {
        retained: held(&after) - held(&before),
        allocations: calls(&after) - calls(&before),
    };
    (value, counted)
}

/// Bytes that the value made by `work` holds.
pub fn retained<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let (value, counted) = counted(work);
    (value, counted.retained as f64)
}

//! Exact, reproducible allocation counts.

use std::alloc::System;

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};

/// Counting allocator of every program that links this library.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Allocations made while a closure ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allocations {
    /// Bytes still allocated afterwards.
    pub retained: i64,
    /// Number of allocations, including reallocations.
    pub allocations: u64,
}

/// Runs `work` and counts the allocations of the whole process during the call.
pub fn counted<T>(work: impl FnOnce() -> T) -> (T, Allocations) {
    let before = ALLOCATOR.stats();
    let value = work();
    let after = ALLOCATOR.stats();
    let live_bytes =
        |stats: &stats_alloc::Stats| stats.bytes_allocated as i64 - stats.bytes_deallocated as i64;
    let calls = |stats: &stats_alloc::Stats| (stats.allocations + stats.reallocations) as u64;
    let counted = Allocations {
        retained: live_bytes(&after) - live_bytes(&before),
        allocations: calls(&after) - calls(&before),
    };
    (value, counted)
}

/// Runs `work` and returns its value and the bytes that remain allocated.
pub fn retained<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let (value, counted) = counted(work);
    (value, counted.retained as f64)
}

//! CPU time of threads.

use std::collections::HashMap;
use std::fs;
use std::hint::black_box;
use std::io;
use std::thread;

/// Minimum CPU time of a measurement, in nanoseconds.
const MIN_NANOS: u64 = 60_000_000;

/// Mean CPU time per call in microseconds, over at least [`MIN_NANOS`].
pub(super) fn micros_per_call<T>(mut call: impl FnMut() -> T) -> f64 {
    let mut calls = 1_u64;
    loop {
        let start = thread_nanos();
        for _ in 0..calls {
            drop(black_box(call()));
        }
        let nanos = thread_nanos() - start;
        if nanos >= MIN_NANOS {
            return nanos as f64 / calls as f64 / 1e3;
        }
        calls *= 2;
    }
}

/// CPU time used by the current thread, in nanoseconds.
pub(super) fn thread_nanos() -> u64 {
    // The kernel updates schedstat on a context switch.
    thread::yield_now();
    let text = fs::read_to_string("/proc/thread-self/schedstat");
    text.ok().and_then(|text| first_number(&text)).expect("schedstat is unavailable")
}

/// CPU time in nanoseconds of every thread of this process whose name matches,
/// by thread id.
pub(super) fn nanos_by_thread(
    matches_name: impl Fn(&str) -> bool,
) -> io::Result<HashMap<u64, u64>> {
    let mut nanos = HashMap::new();
    for entry in fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        // A thread may exit between listing and reading.
        let Ok(name) = fs::read_to_string(path.join("comm")) else { continue };
        let Ok(stat) = fs::read_to_string(path.join("schedstat")) else { continue };
        let id = path.file_name().and_then(|id| id.to_str()).and_then(|id| id.parse().ok());
        if let (Some(id), Some(used), true) = (id, first_number(&stat), matches_name(name.trim())) {
            nanos.insert(id, used);
        }
    }
    Ok(nanos)
}

fn first_number(text: &str) -> Option<u64> {
    text.split_whitespace().next()?.parse().ok()
}

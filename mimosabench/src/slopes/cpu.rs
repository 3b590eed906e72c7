//! Processor time of threads.

use std::collections::HashMap;
use std::fs;
use std::hint::black_box;
use std::io;
use std::thread;

/// Least processor time of a measurement, in nanoseconds.
const MIN_NANOS: u64 = 60_000_000;

/// Microseconds of processor time that one call takes, over enough calls.
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

/// Processor time that this thread has used.
pub(super) fn thread_nanos() -> u64 {
    // The kernel brings the figure up to date when it switches threads.
    thread::yield_now();
    let text = fs::read_to_string("/proc/thread-self/schedstat");
    text.ok().and_then(|text| first_number(&text)).expect("the kernel keeps schedstat")
}

/// Processor time of every thread of this process whose name passes, by
/// thread.
pub(super) fn nanos_by_thread(passes: impl Fn(&str) -> bool) -> io::Result<HashMap<u64, u64>> {
    let mut nanos = HashMap::new();
    for entry in fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        // A thread may end while it is looked at.
        let Ok(name) = fs::read_to_string(path.join("comm")) else { continue };
        let Ok(stat) = fs::read_to_string(path.join("schedstat")) else { continue };
        let id = path.file_name().and_then(|id| id.to_str()).and_then(|id| id.parse().ok());
        if let (Some(id), Some(used), true) = (id, first_number(&stat), passes(name.trim())) {
            nanos.insert(id, used);
        }
    }
    Ok(nanos)
}

fn first_number(text: &str) -> Option<u64> {
    text.split_whitespace().next()?.parse().ok()
}

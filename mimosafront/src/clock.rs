//! Monotonic and wall-clock time.

use mimosashift::time::Instant;
use nix::time::{ClockId, clock_gettime};

/// Time since boot, including time spent suspended, so that cached state does
/// not outlive its validity when the machine was paused.
pub fn now() -> Instant {
    let time =
        clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME is available on Linux");
    let micros = time.tv_sec() * 1_000_000 + time.tv_nsec() / 1_000;
    Instant::from_micros(u64::try_from(micros).expect("CLOCK_BOOTTIME is not negative"))
}

/// Unix time in microseconds; distinguishes successive starts of a router.
pub fn unix_micros() -> u64 {
    let time =
        clock_gettime(ClockId::CLOCK_REALTIME).expect("CLOCK_REALTIME is available on Linux");
    let micros = time.tv_sec() * 1_000_000 + time.tv_nsec() / 1_000;
    u64::try_from(micros).unwrap_or_default()
}

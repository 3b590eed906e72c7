//! The clock that decisions are made by.

use mimosashift::time::Instant;
use nix::time::{ClockId, clock_gettime};

/// The time since the machine started, which counts on while it is suspended,
/// so that nothing is believed for longer than it should be after a pause.
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock");
    let micros = time.tv_sec() * 1_000_000 + time.tv_nsec() / 1_000;
    Instant::from_micros(u64::try_from(micros).expect("the clock starts at zero"))
}

/// Unix time in microseconds, to tell one start of a router from another.
pub fn unix_micros() -> u64 {
    let time = clock_gettime(ClockId::CLOCK_REALTIME).expect("Linux has this clock");
    let micros = time.tv_sec() * 1_000_000 + time.tv_nsec() / 1_000;
    u64::try_from(micros).unwrap_or_default()
}

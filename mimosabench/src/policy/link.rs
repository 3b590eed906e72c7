//! Simulated network link of an engine, with latency and shared bandwidth.
//!
//! Short transfers overtake long ones, as on separate connections, and delay the
//! long transfers by the bandwidth that they use.

use std::time::Duration;

use mimosashift::engine::{Input, Label, Output};
use mimosashift::resource::Engine;
use mimosashift::time::Instant;

use super::fleet::{HIDDEN_BYTES, KV_BYTES};

/// Bytes of a digest, which stands for the activation of one token.
const DIGEST_BYTES: usize = 8;
/// Header bytes per step message.
const OVERHEAD_BYTES: u64 = 512;

/// Largest size of a short transfer.
const SHORT_BYTES: u64 = 64 << 10;

/// Completion times of the queued transfers in one direction of a link.
#[derive(Clone, Copy, Debug, Default)]
struct Lane {
    short: Instant,
    long: Instant,
}

/// A link with a queue in each direction.
#[derive(Debug)]
pub struct Link {
    bytes_per_second: f64,
    factor: u32,
    inbound: Lane,
    outbound: Lane,
}

impl Link {
    /// Creates an idle link.
    pub fn new(engine: &Engine) -> Self {
        let bytes_per_second = engine.link_bytes_per_second as f64;
        Self { bytes_per_second, factor: 1, inbound: Lane::default(), outbound: Lane::default() }
    }

    /// Multiplies the latency and divides the bandwidth by `factor`.
    pub const fn degrade(&mut self, factor: u32) {
        self.factor = factor;
    }

    /// Time until the input of a step reaches the engine.
    pub fn send(&mut self, input: &Input, now: Instant, latency: Duration) -> Duration {
        let bytes = match input {
            Input::Tokens(tokens) => tokens.len() as u64 * size_of::<u32>() as u64,
            Input::Hidden(digests) => activation_bytes(digests),
        };
        let bytes = bytes + OVERHEAD_BYTES;
        let time = self.time(bytes);
        self.inbound.enqueue(bytes, time, now) + latency * self.factor
    }

    /// Time until an answer of `bytes` bytes reaches the router.
    pub fn reply(&mut self, bytes: u64, now: Instant, latency: Duration) -> Duration {
        let time = self.time(bytes);
        self.outbound.enqueue(bytes, time, now) + latency * self.factor
    }

    /// Time to copy a cache from one engine to another.
    pub fn copy(
        links: &mut [Self],
        from: usize,
        to: usize,
        label: &Label,
        now: Instant,
    ) -> Duration {
        let cells = u64::from(label.count) * u64::from(label.layers.count());
        let bytes = cells * u64::from(KV_BYTES);
        let sent = links[from].reply(bytes, now, Duration::ZERO);
        let time = links[to].time(bytes);
        sent.max(links[to].inbound.enqueue(bytes, time, now))
    }

    /// Size of an answer in bytes.
    pub fn bytes(output: &Output) -> u64 {
        OVERHEAD_BYTES
            + match output {
                Output::Hidden(digests) => activation_bytes(digests),
                Output::Token(_) => size_of::<u32>() as u64,
            }
    }

    fn time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second * f64::from(self.factor))
    }
}

impl Lane {
    /// Queues a transfer that takes `time` on an idle link; returns the time until
    /// it completes.
    fn enqueue(&mut self, bytes: u64, time: Duration, now: Instant) -> Duration {
        if bytes > SHORT_BYTES {
            self.long = self.long.max(now) + time;
            return self.long.since(now);
        }
        self.short = self.short.max(now) + time;
        if self.long > now {
            self.long = self.long + time;
        }
        self.short.since(now)
    }
}

fn activation_bytes(digests: &[u8]) -> u64 {
    (digests.len() / DIGEST_BYTES) as u64 * u64::from(HIDDEN_BYTES)
}

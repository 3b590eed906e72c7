//! The link of an engine: latency, and bandwidth shared by transfers.
//!
//! Short transfers pass long ones, as on connections of their own; what they
//! take is taken from the long ones.

use std::time::Duration;

use mimosashift::engine::{Input, Label, Output};
use mimosashift::resource::Engine;
use mimosashift::time::Instant;

use super::fleet::{HIDDEN_BYTES, KV_BYTES};

/// Bytes of a digest, which stands for the activation of one token.
const DIGEST_BYTES: usize = 8;
/// Bytes of headers around a step's body.
const OVERHEAD_BYTES: u64 = 512;

/// Transfers of more bytes are long.
const SHORT_BYTES: u64 = 64 << 10;

/// One direction of a link: when its transfers are through.
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
    inwards: Lane,
    outwards: Lane,
}

impl Link {
    /// An idle link.
    pub fn new(engine: &Engine) -> Self {
        let bytes_per_second = engine.link_bytes_per_second as f64;
        Self { bytes_per_second, factor: 1, inwards: Lane::default(), outwards: Lane::default() }
    }

    /// Makes latency longer and bandwidth less by `factor`.
    pub const fn degrade(&mut self, factor: u32) {
        self.factor = factor;
    }

    /// Time until a step's input is at the engine.
    pub fn send(&mut self, input: &Input, now: Instant, latency: Duration) -> Duration {
        let bytes = match input {
            Input::Tokens(tokens) => tokens.len() as u64 * size_of::<u32>() as u64,
            Input::Hidden(digests) => activation_bytes(digests),
        };
        let bytes = bytes + OVERHEAD_BYTES;
        let time = self.time(bytes);
        self.inwards.pass(bytes, time, now) + latency * self.factor
    }

    /// Time until an answer of `bytes` bytes is at the router.
    pub fn reply(&mut self, bytes: u64, now: Instant, latency: Duration) -> Duration {
        let time = self.time(bytes);
        self.outwards.pass(bytes, time, now) + latency * self.factor
    }

    /// Time until a cache is copied from one engine to another.
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
        sent.max(links[to].inwards.pass(bytes, time, now))
    }

    /// Bytes of an answer.
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
    /// Time until a transfer that takes `time` alone is through.
    fn pass(&mut self, bytes: u64, time: Duration, now: Instant) -> Duration {
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

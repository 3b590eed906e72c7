//! Which requests a router that is stopping still begins.
//!
//! A balancer needs seconds to notice that a router stops, and clients keep connections,
//! so requests go on arriving. One that would outlast the grace period is refused as not
//! run: another router serves it whole, where this one would cut it off.

use std::time::Duration;

/// Share of an ended stream in the average.
const AVERAGING_SHARE: f64 = 1.0 / 16.0;

/// Factor on the tokens that a request is expected to write, since estimates are often too
/// low.
const OUTPUT_MARGIN: f64 = 1.5;

/// Factor on the average time per token within which nearly all streams lie.
const PACE_MARGIN: f64 = 1.5;

/// Number of average deviations within which nearly all response times lie.
const LATENCY_DEVIATIONS: f64 = 4.0;

/// Part of the longest response time that is forgotten with each request.
const FORGOTTEN_SHARE: f64 = 1.0 / 256.0;

/// Factor on the longest response time within which a request ends that must not be cut off.
const LONGEST_MARGIN: f64 = 1.25;

/// Time per token of recent streams, from their arrival to their end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    seconds_per_token: Option<f64>,
}

impl Pace {
    /// Records a stream that has ended.
    pub fn record(&mut self, tokens: f64, time: Duration) {
        if tokens <= 0.0 {
            return;
        }
        let seconds = time.as_secs_f64() / tokens;
        let average = self.seconds_per_token.unwrap_or(seconds);
        self.seconds_per_token = Some(average + (seconds - average) * AVERAGING_SHARE);
    }

    /// Whether a stream that is expected to write `output` tokens, and writes at most
    /// `max_output`, is likely to end within `left`. True as long as no stream has ended.
    pub fn fits(&self, output: f64, max_output: f64, left: Duration) -> bool {
        let tokens = (output * OUTPUT_MARGIN).min(max_output);
        self.seconds_per_token.is_none_or(|seconds| seconds * tokens <= left.as_secs_f64())
    }

    /// Whether a stream of at most `max_output` tokens ends within `left` even if it writes
    /// all of them at a slow pace. False as long as no stream has ended.
    pub fn surely_fits(&self, max_output: f64, left: Duration) -> bool {
        self.seconds_per_token
            .is_some_and(|seconds| seconds * PACE_MARGIN * max_output <= left.as_secs_f64())
    }
}

/// Response time of recent requests without a stream: its average, the average deviation from
/// that, and the longest.
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    seconds: Option<(f64, f64)>,
    longest: f64,
}

impl Latency {
    /// Records a request that has been answered.
    pub fn record(&mut self, time: Duration) {
        let seconds = time.as_secs_f64();
        let (average, deviation) = self.seconds.unwrap_or((seconds, seconds / 2.0));
        let distance = (seconds - average).abs();
        self.seconds = Some((
            average + (seconds - average) * AVERAGING_SHARE,
            deviation + (distance - deviation) * AVERAGING_SHARE,
        ));
        self.longest = seconds.max(self.longest * (1.0 - FORGOTTEN_SHARE));
    }

    /// Whether a request is likely to be answered within `left`. True as long as none has
    /// been.
    pub fn fits(&self, left: Duration) -> bool {
        self.seconds.is_none_or(|(average, deviation)| {
            average + deviation * LATENCY_DEVIATIONS <= left.as_secs_f64()
        })
    }

    /// Whether a request is answered within `left` even if it is as slow as the slowest recent
    /// one. False as long as none has been answered.
    pub fn surely_fits(&self, left: Duration) -> bool {
        self.seconds.is_some() && self.longest * LONGEST_MARGIN <= left.as_secs_f64()
    }
}

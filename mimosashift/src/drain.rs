//! Which requests a router that is stopping still begins.
//!
//! A balancer needs seconds to notice that a router stops, and clients keep connections,
//! so requests go on arriving. One that would outlast the grace period is refused as not
//! run: another router serves it whole, where this one would cut it off. The estimates here
//! count only as long as a refused client may be led back, or if there is no other router; see
//! `docs/OPERATIONS.md`, "Planned stop".

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

/// A stream to be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stream {
    /// Number of tokens of its prompt.
    pub prompt: f64,
    /// Number of tokens that it is expected to write.
    pub output: f64,
    /// Number of tokens that it writes at most.
    pub max_output: f64,
}

/// Average time per token of recent streams of one service: of the prompt until the first
/// event, and of the output after that.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    prompt: Option<f64>,
    output: Option<f64>,
}

impl Pace {
    /// Records a stream that has ended: the tokens of its prompt, those that it wrote after its
    /// first event, the time until that event, and the whole time.
    pub fn record(&mut self, prompt: f64, output: f64, to_first: Duration, whole: Duration) {
        average(&mut self.prompt, prompt, to_first);
        average(&mut self.output, output, whole.saturating_sub(to_first));
    }

    /// Whether a stream is likely to end within `left`. True as long as no stream has ended.
    pub fn fits(&self, stream: &Stream, left: Duration) -> bool {
        let output = (stream.output * OUTPUT_MARGIN).min(stream.max_output);
        self.seconds(stream.prompt, output).is_none_or(|seconds| seconds <= left.as_secs_f64())
    }

    /// Whether a stream ends within `left` even if it writes all the tokens that it may, at a
    /// slow pace. False as long as no stream has ended.
    pub fn surely_fits(&self, stream: &Stream, left: Duration) -> bool {
        self.seconds(stream.prompt, stream.max_output)
            .is_some_and(|seconds| seconds * PACE_MARGIN <= left.as_secs_f64())
    }

    /// Time that a stream takes at this pace, in seconds.
    fn seconds(&self, prompt: f64, output: f64) -> Option<f64> {
        Some(self.prompt.unwrap_or_default() * prompt + self.output? * output)
    }
}

/// Adds the time that `tokens` took to the average time per token.
fn average(per_token: &mut Option<f64>, tokens: f64, time: Duration) {
    if tokens <= 0.0 {
        return;
    }
    let seconds = time.as_secs_f64() / tokens;
    let before = per_token.unwrap_or(seconds);
    *per_token = Some(before + (seconds - before) * AVERAGING_SHARE);
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

//! The model of service and link times.
//!
//! The same formulas normalise observed times and predict future ones, so that
//! errors in the model cancel out for work with the same number of tokens and
//! sequences.

/// Cost of each additional prompt token, relative to a decode step of one token.
const PROMPT_TOKEN_RELATIVE_COST: f32 = 0.05;

/// Cost of each additional sequence in a batch, relative to the first.
const BATCH_SEQUENCE_RELATIVE_COST: f32 = 0.02;

/// Minimum link time of a round trip, in microseconds; shorter times cannot be
/// distinguished from noise.
const MIN_LINK_US: f32 = 200.0;

/// Cost of a step of `tokens` tokens relative to a step of one token.
pub fn step_weight(tokens: f32) -> f32 {
    1.0 + (tokens - 1.0).max(0.0) * PROMPT_TOKEN_RELATIVE_COST
}

/// Cost of an iteration over a batch of `sequences` sequences, relative to one
/// sequence.
pub fn batch_weight(sequences: u32) -> f32 {
    1.0 + sequences.saturating_sub(1) as f32 * BATCH_SEQUENCE_RELATIVE_COST
}

/// Link time of a round trip in microseconds; `bytes` counts both directions.
pub fn link_us(one_way_us: f32, bytes: f32, bytes_per_second: f32) -> f32 {
    (2.0 * one_way_us + bytes / bytes_per_second * 1e6).max(MIN_LINK_US)
}

//! The time model that observation and prediction share.
//!
//! The same formulas normalise observed times and predict later ones, so that
//! an error in them cancels out for work of the same shape.

/// Cost of a further prompt token, relative to a decode step of one token.
const PROMPT_TOKEN_SHARE: f32 = 0.05;

/// Cost of a further sequence in the batch, relative to the first.
const BATCH_SEQUENCE_SHARE: f32 = 0.02;

/// Shortest link time of an exchange that is told from noise, in microseconds.
const MIN_LINK_US: f32 = 200.0;

/// Cost of a step of `tokens` tokens in units of a one-token step.
pub fn step_weight(tokens: f32) -> f32 {
    1.0 + (tokens - 1.0).max(0.0) * PROMPT_TOKEN_SHARE
}

/// Slowdown of an iteration that batches `sequences` sequences.
pub fn batch_weight(sequences: u32) -> f32 {
    1.0 + sequences.saturating_sub(1) as f32 * BATCH_SEQUENCE_SHARE
}

/// Link time of one exchange in microseconds: there and back, `bytes` in all.
pub fn link_us(one_way_us: f32, bytes: f32, bytes_per_second: f32) -> f32 {
    (2.0 * one_way_us + bytes / bytes_per_second * 1e6).max(MIN_LINK_US)
}

//! Token generation for one request: stage steps, reply checks and recovery.
//!
//! A [`Machine`] drives the stages of a chain step by step and moves layers to
//! another endpoint when a stage fails. The design and its invariants are
//! described in `docs/design/pipeline.md`.

mod action;
mod hedge;
mod machine;
pub mod recovery;
mod reply_filter;
pub mod retry;
mod step_times;

pub use action::{Action, Actions, Context, Effect, FailureCode, Outcome, Request, Scope};
pub use hedge::HedgedRequest;
pub use machine::{Machine, Replacement};
pub use reply_filter::{DropCounts, DropReason, ReplyFilter};
pub use step_times::{StepTimes, TimeoutLimits};

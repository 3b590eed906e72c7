//! Token generation for one request: stage steps, reply checks and recovery.
//!
//! A [`Machine`] drives the stages of a chain step by step and moves layers to
//! another endpoint when a stage fails. The design and its invariants are
//! described in `docs/design/pipeline.md`.

mod action;
mod hedge;
mod ledger;
mod machine;
mod progress;
pub mod recovery;
pub mod retry;

pub use action::{Action, Actions, Code, Context, Effect, Outcome, Request, Scope};
pub use hedge::Hedge;
pub use ledger::{Drops, Ledger, Reason};
pub use machine::{Machine, Replacement};
pub use progress::{Limits, Progress};

//! The token stream of one request: stages, step ledger, recovery.
//!
//! A [`Machine`] drives the stages of a chain step by step and moves layers to
//! another endpoint when a stage is lost. `docs/design/pipeline.md` gives the
//! reasons and what must hold.

mod action;
mod ledger;
mod machine;
mod progress;
pub mod recovery;
pub mod retry;

pub use action::{Action, Actions, Code, Context, Effect, Outcome, Request, Scope};
pub use ledger::{Drops, Ledger, Reason};
pub use machine::{Machine, Replacement};
pub use progress::{Limits, Progress};

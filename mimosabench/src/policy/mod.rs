//! Policy benchmarks: the decision code over fake endpoints in virtual time.
//!
//! Each measure runs beside a naive baseline on the same arrivals.
//! `docs/MEASURES.md` says what is measured and how.

pub mod bound;
mod call;
mod engine;
mod event;
mod fault;
mod fleet;
mod link;
pub mod measure;
mod naive;
mod plot;
mod print;
mod router;
mod run;
mod tally;

pub use call::End;
pub use fault::Fault;
pub use fleet::{AKSU, BOARD, Fleet, Mix};
pub use plot::draw;
pub use print::{causes, recoveries, throughputs};
pub use run::Policy;
pub use tally::{BIN, Done, Tally};

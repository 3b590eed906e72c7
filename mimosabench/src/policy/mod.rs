//! Policy benchmarks: runs the routing and admission code against simulated
//! endpoints in virtual time.
//!
//! Each benchmark also runs a naive baseline with the same arrivals. See
//! `docs/MEASURES.md` for the definitions.

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

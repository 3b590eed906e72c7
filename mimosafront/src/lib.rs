//! The router daemon: sockets, clocks, tasks and their event loop.
//!
//! The routing and placement algorithms are in `mimosashift`; retries, stall
//! handling and denials are decided here.
//! State is shared within one thread, and no borrow of it is held across an
//! await. See `docs/design/deployment.md`, "The shell".

pub mod body;
pub mod call;
pub mod clock;
pub mod connection;
pub mod delay;
pub mod directory;
pub mod flags;
pub mod gossip;
pub mod metrics;
pub mod placement;
pub mod probe;
pub mod reach;
pub mod readiness;
pub mod relay;
pub mod run;
pub mod server;
pub mod settings;
pub mod shutdown;
pub mod state;
pub mod waiting;

/// Commit from which this program was built; `unknown` outside of a repository.
pub const BUILD: &str = env!("MIMOSASHIFT_BUILD");

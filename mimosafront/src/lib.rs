//! The router as an event loop on the users' platform.
//!
//! Sockets, clocks and tasks; what is decided stands in `mimosashift`. State
//! is shared within one thread, and no borrow of it is held over an await.
//! See `docs/design/deployment.md`, "The shell".

pub mod body;
pub mod clock;
pub mod directory;
pub mod flags;
pub mod front;
pub mod gossip;
pub mod metrics;
pub mod placement;
pub mod probe;
pub mod readiness;
pub mod relay;
pub mod run;
pub mod server;
pub mod settings;
pub mod stop;

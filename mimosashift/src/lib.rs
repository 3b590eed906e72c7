//! A router for model pipelines over mixed accelerators.
//!
//! Everything that decides is a plain state machine: inputs and the time go
//! in, actions come out. The shell in `node` owns threads, sockets and clocks.
//! `docs/DESIGN.md` gives the reasons and a picture of the modules.

pub mod engine;
pub mod order;
pub mod platform;
pub mod posting;
pub mod resource;
pub mod route;
pub mod time;

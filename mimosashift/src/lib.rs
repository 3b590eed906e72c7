//! A router for model pipelines over mixed accelerators.
//!
//! All decisions are made by state machines without I/O: they take inputs and
//! the current time and return actions. The `node` module owns threads,
//! sockets and clocks. `docs/DESIGN.md` gives the reasons and a diagram of the
//! modules.

pub mod admit;
pub mod config;
pub mod connection_pool;
pub mod delay;
pub mod deployment;
pub mod drain;
pub mod ending;
pub mod engine;
pub mod event;
pub mod event_stream;
pub mod exchange;
pub mod fleet;
pub mod freshness;
pub mod health;
pub mod http;
pub mod layout;
pub mod member;
pub mod memory;
pub mod meter;
pub mod node;
pub mod order;
pub mod peer;
pub mod pipeline;
pub mod platform;
pub mod poll;
pub mod posting;
pub mod quarantine;
pub mod reach;
pub mod refusals;
pub mod resource;
pub mod route;
pub mod settings;
pub mod time;
pub mod wire;

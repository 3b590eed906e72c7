//! Stand-ins for the systems around a router: platform, engines and services.
//!
//! Each implements the protocol that the router expects and supports fault
//! injection. They are for tests, demonstrations and benchmarks, not for
//! production.

pub mod demo;
pub mod engine;
pub mod oracle;
pub mod platform;
pub mod service;
pub mod testbed;

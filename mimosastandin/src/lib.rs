//! Stand-ins for the systems around a router: platform, engines, services.
//!
//! Each speaks the protocol that the router expects and can be told to fail.
//! They are for tests, demonstrations and measurements, not for production.

pub mod demo;
pub mod engine;
pub mod oracle;
pub mod platform;
pub mod service;
pub mod testbed;

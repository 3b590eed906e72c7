//! Benchmarks of routers and their scheduling policies.

pub mod added_latency;
pub mod clients;
pub mod load;
pub mod policy;
pub mod report;
pub mod slopes;

//! Measures of routers and their policies.

pub mod load;
pub mod policy;
pub mod report;

//! Measures of routers and their policies.

pub mod added;
pub mod clients;
pub mod load;
pub mod policy;
pub mod report;
pub mod slopes;

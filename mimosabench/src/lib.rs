//! Measurements of the router's library.

pub mod slopes;

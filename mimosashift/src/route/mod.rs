//! Which endpoints run the layers of a request.

mod chain;

pub use chain::{Chain, Error, Stage};

//! Resource cost of each router role as a function of deployment size.
//!
//! Each role is measured at several sizes using the library code, and a line is
//! fitted. `docs/CAPACITY.md` derives the cost of a large deployment from these
//! lines.

use std::io;

use quick_error::quick_error;

pub mod admission;
pub mod audit;
pub mod caller;
pub mod choice;
pub mod config;
mod cpu;
mod fit;
pub mod fleet;
pub mod health;
pub mod membership;
pub mod memory;
pub mod metrics;
pub mod page;
pub mod placement;
pub mod posting;
pub mod relay;
mod series;
mod text;

pub use fit::Line;
pub use series::Series;
pub use text::{to_markdown, to_text};

quick_error! {
    /// Failure to measure or write the slopes.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// I/O on a file or socket failed.
        Io(error: io::Error) {
            from()
            display("{}", error)
        }
        /// The router under test did not start.
        Router(error: mimosashift::node::Error) {
            from()
            display("cannot start a router: {}", error)
        }
        /// A call made by the benchmark failed or returned an unexpected response.
        Call(reason: String) {
            display("{}", reason)
        }
        /// The page has no block to replace.
        Page(path: String) {
            display("{:?} does not hold one block between the markers {} and {}", path, page::BEGIN, page::END)
        }
    }
}

/// Measures one role.
type Measure = fn() -> Result<Vec<Series>, Error>;

/// Benchmarks by role name.
const ROLES: [(&str, Measure); 11] = [
    ("caller", caller::measure),
    ("choice", || Ok(choice::measure())),
    ("relay", || Ok(relay::measure())),
    ("admission", || Ok(admission::measure())),
    ("health", || Ok(health::measure())),
    ("membership", || Ok(membership::measure())),
    ("config", config::measure),
    ("posting", || Ok(posting::measure())),
    ("placement", || Ok(placement::measure())),
    ("audit", || Ok(audit::measure())),
    ("metrics", || Ok(metrics::measure())),
];

/// Measures every role, or only the named one.
pub fn measure(role: Option<&str>) -> Result<Vec<Series>, Error> {
    let mut all = Vec::new();
    for (name, measure) in ROLES {
        if role.is_none_or(|role| role == name) {
            all.extend(measure()?);
        }
    }
    Ok(all)
}

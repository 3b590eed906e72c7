//! The load tool and policy benchmarks.

fn main() {}

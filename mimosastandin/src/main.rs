//! The stand-ins as processes.

fn main() {}

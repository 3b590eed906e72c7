//! The daemon's command line.

#![allow(missing_docs)] // The macro adds items without comments.

use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// A router for model pipelines on a platform that sets its settings file.
    cmd mimosafront {
        /// Path of the settings file; the environment names it otherwise.
        optional --settings path: PathBuf
        /// Address of the metrics; 0.0.0.0:9464 otherwise.
        optional --metrics address: SocketAddr
        /// Check the settings file and exit.
        optional --check
        /// Print version and commit of this program and exit.
        optional --version
    }
}

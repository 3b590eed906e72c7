//! HTTP server for callers and operators, and HTTP client.
//!
//! A small asynchronous runtime does the socket I/O; handlers are blocking
//! functions that run on a [`pool`] of worker threads. `docs/design/http.md`
//! explains why the server uses `hyper` rather than `oxhttp`.

pub mod client;
pub mod completion;
pub mod pool;
pub mod problem;
mod server;

pub use server::{Disconnected, Handler, Request, Responder, Server, Settings, Stream};

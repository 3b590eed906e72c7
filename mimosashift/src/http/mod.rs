//! HTTP towards callers and operators.
//!
//! A small asynchronous front owns the sockets; handlers are plain blocking
//! functions on a [`pool`] of workers. `docs/design/http.md` says why `hyper`
//! serves here and not `oxhttp`.

pub mod client;
pub mod completion;
pub mod pool;
pub mod problem;
mod server;

pub use server::{Gone, Handler, Request, Responder, Server, Settings, Stream};

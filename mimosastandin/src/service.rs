//! Stand-in for a service that counts how often each posting ran.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use mimosashift::http::{Handler, Request, Responder, Server, Settings};
use serde::{Deserialize, Serialize};
use ureq::http::{Method, StatusCode};

/// Injected fault of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Runs the posting, but closes the connection instead of responding.
    LoseAnswers,
    /// Closes every connection and runs nothing.
    Dead,
    /// Waits this many milliseconds before it handles a request.
    Slow(u64),
}

/// A running service. A POST runs its body as a posting; a GET returns the
/// number of runs of each body.
pub struct Instance {
    server: Server,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    fault: Mutex<Fault>,
    runs: Mutex<BTreeMap<String, u64>>,
}

/// Response to a posting.
#[derive(Debug, Serialize, Deserialize)]
pub struct PostingResponse {
    /// Number of times that this body has run, including this one.
    pub runs: u64,
}

impl Instance {
    /// Starts a service; port 0 binds to any free port.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(State::default());
        let server =
            Server::start("service", address, Settings::default(), Arc::clone(&state) as _)?;
        Ok(Self { server, state })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects a fault, which replaces the previous one.
    pub fn set_fault(&self, fault: Fault) {
        *self.state.fault.lock().expect("no holder of this lock panics") = fault;
    }

    /// Number of runs of each body.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.state.runs().clone()
    }
}

impl State {
    fn runs(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.runs.lock().expect("no holder of this lock panics")
    }

    fn run_posting(&self, request: &Request) -> PostingResponse {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut runs = self.runs();
        let count = runs.entry(body).or_default();
        *count += 1;
        PostingResponse { runs: *count }
    }
}

impl Handler for State {
    fn handle(&self, request: Request, responder: Responder) {
        if request.uri.path() == "/fault" {
            return match serde_json::from_slice(&request.body) {
                Ok(fault) => {
                    *self.fault.lock().expect("no holder of this lock panics") = fault;
                    responder.json(StatusCode::OK, b"{}".to_vec());
                }
                Err(error) => {
                    responder.json(StatusCode::BAD_REQUEST, error.to_string().into_bytes());
                }
            };
        }
        let fault = *self.fault.lock().expect("no holder of this lock panics");
        match fault {
            Fault::Dead => return responder.abort(),
            Fault::Slow(millis) => thread::sleep(Duration::from_millis(millis)),
            Fault::None | Fault::LoseAnswers => {}
        }
        if request.method == Method::GET {
            let runs = serde_json::to_vec(&*self.runs()).expect("all map keys are strings");
            return responder.json(StatusCode::OK, runs);
        }
        let response = self.run_posting(&request);
        if fault == Fault::LoseAnswers {
            return responder.abort();
        }
        let body = serde_json::to_vec(&response).expect("all map keys are strings");
        responder.json(StatusCode::CREATED, body);
    }
}

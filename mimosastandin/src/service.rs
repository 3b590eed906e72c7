//! A plain service that counts how often each posting ran.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use mimosashift::http::{Handler, Request, Responder, Server, Settings};
use serde::{Deserialize, Serialize};
use ureq::http::{Method, StatusCode};

/// How the service misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// Not at all.
    #[default]
    None,
    /// Runs the call, but closes the connection instead of answering.
    LoseAnswers,
    /// Closes the connection and runs nothing.
    Dead,
    /// Waits this many milliseconds before it runs a call.
    Slow(u64),
}

/// A running service. A POST runs its body as a posting; GET lists how often
/// each body ran.
pub struct Instance {
    server: Server,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    fault: Mutex<Fault>,
    runs: Mutex<BTreeMap<String, u64>>,
}

/// Answer to a posting.
#[derive(Debug, Serialize, Deserialize)]
pub struct Receipt {
    /// How often this body has run, this time included.
    pub runs: u64,
}

impl Instance {
    /// Starts a service; port 0 takes any free port.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(State::default());
        let server =
            Server::start("service", address, Settings::default(), Arc::clone(&state) as _)?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Makes it misbehave from now on.
    pub fn set_fault(&self, fault: Fault) {
        *self.state.fault.lock().expect("no holder of this lock panics") = fault;
    }

    /// How often each body ran.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.state.runs().clone()
    }
}

impl State {
    fn runs(&self) -> MutexGuard<'_, BTreeMap<String, u64>> {
        self.runs.lock().expect("no holder of this lock panics")
    }

    fn run(&self, request: &Request) -> Receipt {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut runs = self.runs();
        let count = runs.entry(body).or_default();
        *count += 1;
        Receipt { runs: *count }
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
            let runs = serde_json::to_vec(&*self.runs()).expect("only string keys");
            return responder.json(StatusCode::OK, runs);
        }
        let receipt = self.run(&request);
        if fault == Fault::LoseAnswers {
            return responder.abort();
        }
        let body = serde_json::to_vec(&receipt).expect("only string keys");
        responder.json(StatusCode::CREATED, body);
    }
}

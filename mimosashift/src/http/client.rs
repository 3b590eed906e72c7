//! Calls to endpoints and the platform.
//!
//! Connections are kept open per address. When one goes silent, every idle
//! connection to that address is as suspect as it, so all are dropped
//! together; see `docs/design/http.md`, "Silent connections".

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use quick_error::quick_error;
use ureq::Agent;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};

/// Bytes of each of a connection's two buffers; a head must fit into one.
const BUFFER_BYTES: usize = 32 << 10;

quick_error! {
    /// Why a call has no answer.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Failure {
        /// No connection was made: not one byte reached the other side.
        NotSent { address: SocketAddr, reason: String } {
            display("{} was not reached: {}", address, reason)
        }
        /// The exchange broke or timed out after it may have been sent.
        Lost { address: SocketAddr, waited: Duration, reason: String } {
            display("{} gave no answer after {} ms: {}", address, waited.as_millis(), reason)
        }
    }
}

/// Limits of the kept connections.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time to set up a connection. Default 250 ms.
    pub connect_timeout: Duration,
    /// Longest time that a connection lies unused. Default 5 s.
    pub max_idle_age: Duration,
    /// Idle connections kept per address. Default 64.
    pub max_idle: usize,
    /// Largest answer, in bytes. Default 16 MiB.
    pub max_answer_bytes: u64,
}

/// One call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Where to.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers besides those of the transport.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body; empty for none.
    pub body: &'a [u8],
    /// Time until the whole answer must be here.
    pub timeout: Duration,
    /// Whether to open a connection of its own, so that a broken old
    /// connection cannot make it uncertain whether the call ran.
    pub fresh: bool,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

/// Keeps connections to endpoints and makes calls over them.
pub struct Client {
    settings: Settings,
    /// Makes calls on connections that are never reused.
    fresh: Agent,
    kept: Mutex<HashMap<SocketAddr, Agent>>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            max_idle_age: Duration::from_secs(5),
            max_idle: 64,
            max_answer_bytes: 16 << 20,
        }
    }
}

impl Answer {
    /// The value of a header, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Client {
    /// A client without connections.
    pub fn new(settings: Settings) -> Self {
        let fresh = agent(&settings, 0);
        Self { settings, fresh, kept: Mutex::default() }
    }

    /// Makes a call and reads the whole answer, whatever its status.
    pub fn call(&self, call: &Call<'_>) -> Result<Answer, Failure> {
        let start = Instant::now();
        let agent = if call.fresh { self.fresh.clone() } else { self.agent(call.address) };
        let exchanged = self.exchange(&agent, call);
        exchanged.map_err(|error| {
            if !call.fresh {
                self.retire(call.address);
            }
            failure(call.address, start.elapsed(), &error)
        })
    }

    /// Drops every idle connection to an address.
    ///
    /// Calls in flight keep theirs until they end, and do not return it.
    pub fn retire(&self, address: SocketAddr) {
        self.kept.lock().expect("no holder of this lock panics").remove(&address);
    }

    fn agent(&self, address: SocketAddr) -> Agent {
        let mut kept = self.kept.lock().expect("no holder of this lock panics");
        let new = || agent(&self.settings, self.settings.max_idle);
        kept.entry(address).or_insert_with(new).clone()
    }

    fn exchange(&self, agent: &Agent, call: &Call<'_>) -> Result<Answer, ureq::Error> {
        let uri = format!("http://{}{}", call.address, call.path);
        let mut request = ureq::http::Request::builder().method(call.method.clone()).uri(uri);
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        let bodiless = call.body.is_empty() && !expects_body(&call.method);
        let limit = self.settings.max_answer_bytes;
        let response = if bodiless {
            let request = agent.configure_request(request.body(())?);
            agent.run(request.timeout_global(Some(call.timeout)).build())?
        } else {
            let request = agent.configure_request(request.body(call.body)?);
            agent.run(request.timeout_global(Some(call.timeout)).build())?
        };
        let (head, mut body) = response.into_parts();
        let body = body.with_config().limit(limit).read_to_vec()?;
        Ok(Answer { status: head.status, headers: head.headers, body })
    }
}

fn expects_body(method: &Method) -> bool {
    matches!(*method, Method::POST | Method::PUT | Method::PATCH)
}

fn agent(settings: &Settings, max_idle: usize) -> Agent {
    let config = Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .max_redirects(0)
        .allow_non_standard_methods(true)
        .timeout_connect(Some(settings.connect_timeout))
        .max_idle_age(settings.max_idle_age)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(max_idle)
        .max_idle_connections_per_host(max_idle)
        .user_agent("mimosashift")
        .build();
    Agent::with_parts(config, DefaultConnector::default(), Literal)
}

/// Reads addresses where the default resolver would start a thread for each
/// call to look a name up.
#[derive(Debug)]
struct Literal;

impl Resolver for Literal {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let authority = uri.authority().map(|authority| authority.as_str());
        let address = authority.and_then(|text| text.parse().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(addresses)
    }
}

fn failure(address: SocketAddr, waited: Duration, error: &ureq::Error) -> Failure {
    let reason = error.to_string();
    if never_sent(error) {
        return Failure::NotSent { address, reason };
    }
    Failure::Lost { address, waited, reason }
}

/// Whether the error can only come from before a connection existed.
fn never_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(at) => matches!(at, ureq::Timeout::Connect | ureq::Timeout::Resolve),
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Http(_) => true,
        _ => false,
    }
}

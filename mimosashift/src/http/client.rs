//! HTTP client for calls to endpoints and the platform.
//!
//! Connections are pooled per address. If a call on one of them fails, the
//! idle connections to the same address may be broken as well, so all of them
//! are dropped; see `docs/design/http.md`, "Silent connections".

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Method, StatusCode};
use quick_error::quick_error;
use ureq::Agent;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, DefaultConnector, NextTimeout, Transport,
};

/// Size of a connection's input and output buffer each; the head of a message
/// must fit into one.
const BUFFER_BYTES: usize = 32 << 10;

quick_error! {
    /// Reason why a call got no response.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Failure {
        /// The connection could not be set up; no byte of the call was sent.
        NotSent { address: SocketAddr, reason: String } {
            display("{} was not reached: {}", address, reason)
        }
        /// The call failed or timed out after it may have been sent.
        Lost { address: SocketAddr, waited: Duration, reason: String } {
            display("{} gave no answer after {} ms: {}", address, waited.as_millis(), reason)
        }
    }
}

/// Limits on calls and pooled connections.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timeout for setting up a connection. Default 250 ms.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed. Default 5 s.
    pub max_idle_age: Duration,
    /// Maximum number of idle connections per address. Default 64.
    pub max_idle: usize,
    /// Maximum size of a response body, in bytes. Default 16 MiB.
    pub max_response_bytes: u64,
}

/// One HTTP request.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Address of the server.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers, except those that the client sets itself.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body; empty for none.
    pub body: &'a [u8],
    /// Timeout for the whole exchange, response body included.
    pub timeout: Duration,
    /// Whether to use a new connection instead of a pooled one. A pooled
    /// connection may already be broken, and a failure on it leaves unknown
    /// whether the call ran.
    pub fresh: bool,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
}

/// Makes calls over pooled connections.
pub struct Client {
    settings: Settings,
    /// Opens a connection per call and does not pool it.
    fresh: Agent,
    /// Pooled connections by address.
    agents: Mutex<HashMap<SocketAddr, Agent>>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            max_idle_age: Duration::from_secs(5),
            max_idle: 64,
            max_response_bytes: 16 << 20,
        }
    }
}

impl Response {
    /// Whether the end of the body was marked by a length or the last chunk. The
    /// close of the connection alone does not show that the body is complete.
    pub fn is_delimited(&self) -> bool {
        [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| self.headers.contains_key(name))
    }

    /// The value of a header, if it is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Client {
    /// A client without connections.
    pub fn new(settings: Settings) -> Self {
        let fresh = agent(&settings, 0);
        Self { settings, fresh, agents: Mutex::default() }
    }

    /// Makes a call and reads the complete response, whatever its status.
    pub fn call(&self, call: &Call<'_>) -> Result<Response, Failure> {
        let start = Instant::now();
        let agent = if call.fresh { self.fresh.clone() } else { self.agent(call.address) };
        let result = self.exchange(&agent, call);
        result.map_err(|error| {
            if !call.fresh {
                self.drop_idle(call.address);
            }
            failure(call.address, start.elapsed(), &error)
        })
    }

    /// Drops every idle connection to an address.
    ///
    /// Calls in flight keep their connections until they end and do not return
    /// them to the pool.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.agents.lock().expect("no holder of this lock panics").remove(&address);
    }

    fn agent(&self, address: SocketAddr) -> Agent {
        let mut agents = self.agents.lock().expect("no holder of this lock panics");
        let new = || agent(&self.settings, self.settings.max_idle);
        agents.entry(address).or_insert_with(new).clone()
    }

    fn exchange(&self, agent: &Agent, call: &Call<'_>) -> Result<Response, ureq::Error> {
        let uri = format!("http://{}{}", call.address, call.path);
        let mut request = ureq::http::Request::builder().method(call.method.clone()).uri(uri);
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        let no_body = call.body.is_empty() && !expects_body(&call.method);
        let limit = self.settings.max_response_bytes;
        let response = if no_body {
            let request = agent.configure_request(request.body(())?);
            agent.run(request.timeout_global(Some(call.timeout)).build())?
        } else {
            let request = agent.configure_request(request.body(call.body)?);
            agent.run(request.timeout_global(Some(call.timeout)).build())?
        };
        let (head, mut body) = response.into_parts();
        let body = body.with_config().limit(limit).read_to_vec()?;
        Ok(Response { status: head.status, headers: head.headers, body })
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
    let connector = DefaultConnector::default().chain(ResetConnector);
    Agent::with_parts(config, connector, LiteralResolver)
}

/// Parses the host as an IP address and port; the default resolver would start
/// a thread per call for the DNS lookup.
#[derive(Debug)]
struct LiteralResolver;

impl Resolver for LiteralResolver {
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

/// Reports resets of connections as errors that fail a call at any time; ureq takes the kind
/// of error that the system gives for the end of a body without a length.
#[derive(Debug)]
struct ResetConnector;

#[derive(Debug)]
struct ResetTransport<T>(T);

impl<T: Transport> Connector<T> for ResetConnector {
    type Out = ResetTransport<T>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<T>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        Ok(chained.map(ResetTransport))
    }
}

impl<T: Transport> Transport for ResetTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.0.await_input(timeout).map_err(|error| match error {
            ureq::Error::Io(error) => ureq::Error::Io(io::Error::other(error)),
            other => other,
        })
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}

fn failure(address: SocketAddr, waited: Duration, error: &ureq::Error) -> Failure {
    let reason = error.to_string();
    if is_not_sent(error) {
        return Failure::NotSent { address, reason };
    }
    Failure::Lost { address, waited, reason }
}

/// Whether the error can only occur before the connection is established.
fn is_not_sent(error: &ureq::Error) -> bool {
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

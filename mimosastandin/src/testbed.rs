//! A complete system in one process: platform, endpoints and routers.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use mimosashift::event::Logger;
use mimosashift::http::client::Client;
use mimosashift::node::{self, RunningNode};
use mimosashift::resource::{self, Engine, Name};
use mimosashift::{http, platform as protocol, settings};
use quick_error::quick_error;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::{engine, platform, service};

/// Loopback address with port 0, which binds to any free port.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// First port and number of ports for routers, below those that Linux gives out for outgoing
/// connections.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 10_000;

/// Distance between the first ports of two processes with successive ids: more than a test
/// takes.
const PORTS_PER_PROCESS: u32 = 101;

/// Number of ports chosen by this process.
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Name of the model served by the testbed.
pub const MODEL: &str = "advisor";

/// Number of layers of the model.
pub const LAYERS: u16 = 24;

/// Bearer token of the operators.
pub const OPERATOR_TOKEN: &str = "aksu-operator-token";

/// Bearer token of a calling team.
pub const CALLER_TOKEN: &str = "aksu-advisors-token";

/// Timeout of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);

/// Shared key with which the routers of a testbed authenticate to one another.
const PEER_KEY: [u8; settings::KEY_BYTES] = [7; settings::KEY_BYTES];

quick_error! {
    /// Why a testbed did not start.
    #[derive(Debug)]
    #[allow(missing_docs)] // The macro takes no comments on fields.
    pub enum Error {
        /// A socket could not be opened.
        Socket(error: io::Error) {
            from()
            display("cannot open a socket: {}", error)
        }
        /// A router did not start.
        Router(error: node::Error) {
            from()
            display("cannot start a router: {}", error)
        }
        /// A name is invalid.
        Resource(error: resource::Error) {
            from()
            display("{}", error)
        }
        /// The specification of an engine is invalid.
        Engine(error: serde_json::Error) {
            from()
            display("invalid engine specification: {}", error)
        }
    }
}

/// One engine of a testbed and its endpoint.
pub struct EngineEndpoint {
    /// Name of the endpoint.
    pub name: String,
    /// Failure domain of the endpoint.
    pub domain: &'static str,
    /// Specification of the endpoint resource.
    pub spec: Value,
    /// The running engine.
    pub instance: engine::Instance,
}

/// The running stand-ins and routers.
pub struct Testbed {
    /// The platform.
    pub platform: platform::Instance,
    /// The engines: one for each of two failure domains, three stages and two
    /// kinds of accelerator.
    pub engines: Vec<EngineEndpoint>,
    /// The service `operations`.
    pub service: service::Instance,
    /// Four routers, two in each failure domain.
    pub routers: Vec<RunningNode>,
}

impl Testbed {
    /// Starts a testbed on the loopback interface.
    pub fn start(log: &Logger) -> Result<Self, Error> {
        let platform = platform::Instance::start(LOOPBACK, platform::Rates::default())?;
        let service = service::Instance::start(LOOPBACK)?;
        let mut engines = Vec::new();
        for domain in ["almaty-a", "almaty-b"] {
            for (stage, layers) in [[0, 8], [8, 16], [16, 24]].into_iter().enumerate() {
                for (kind, layer_us) in [("large", 20), ("small", 40)] {
                    engines.push(start_engine(domain, stage, layers, kind, layer_us)?);
                }
            }
        }
        let peers = (0..4).map(|_| free_address()).collect::<io::Result<Vec<_>>>()?;
        let mut routers = Vec::new();
        for index in 0..peers.len() {
            let settings = router_settings(index, &peers, platform.address())?;
            let log = log.new(slog::o!("router" => index + 1));
            routers.push(RunningNode::start(settings, log)?);
        }
        Ok(Self { platform, engines, service, routers })
    }

    /// The resources that configure the testbed as kind, name and
    /// specification, in the order in which they must be applied.
    pub fn resources(&self) -> Vec<(&'static str, String, Value)> {
        let digest = |token: &str| hex::encode(Sha256::digest(token));
        let mut resources = vec![
            ("priority", "counter".into(), json!({"level": 0})),
            (
                "team",
                "advisors".into(),
                json!({"priority": "counter", "token_digests": [digest(CALLER_TOKEN)]}),
            ),
            (
                "team",
                "operators".into(),
                json!({"priority": "counter", "operator": true,
                    "token_digests": [digest(OPERATOR_TOKEN)]}),
            ),
            ("pipeline", MODEL.into(), json!({"layers": LAYERS, "version": 1})),
            ("service", "operations".into(), json!({})),
            (
                "endpoint",
                "operations-1".into(),
                json!({"address": self.service.address(), "domain": "almaty-a",
                    "role": {"service": "operations"}}),
            ),
        ];
        for engine in &self.engines {
            resources.push(("endpoint", engine.name.clone(), engine.spec.clone()));
        }
        resources.push(("route", MODEL.into(), json!({"model": MODEL, "pipeline": MODEL})));
        resources
    }
}

/// A loopback address whose port is free for UDP and TCP, a different one for each call.
///
/// The port is not reserved, but it is none that the system gives out for connections.
/// Processes start at different ports, so that they rarely choose the same one.
///
/// # Errors
///
/// If every port of the range is in use.
pub fn free_address() -> io::Result<SocketAddr> {
    let start = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    for _ in 0..PORT_COUNT {
        let number = start.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + (number % u32::from(PORT_COUNT)) as u16;
        let address = SocketAddr::new(LOOPBACK.ip(), port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// The settings of router `index` of a testbed.
fn router_settings(
    index: usize,
    peers: &[SocketAddr],
    platform: SocketAddr,
) -> Result<node::Settings, Error> {
    let client = Arc::new(Client::new(http::client::Settings::default()));
    let platform = Arc::new(protocol::http::Adapter::new(client, platform, PLATFORM_TIMEOUT));
    let other_peers = peers.iter().enumerate().filter(|(i, _)| *i != index).map(|(_, peer)| *peer);
    Ok(node::Settings {
        node: settings::Node {
            name: Name::try_from(format!("router-{}", index + 1))?,
            domain: Name::try_from(if index < 2 { "almaty-a" } else { "almaty-b" })?,
            region: Name::try_from("almaty")?,
            drain: Duration::from_secs(10),
        },
        callers: LOOPBACK,
        limits: http::Settings::default(),
        queue_bytes: 8 << 20,
        operators: LOOPBACK,
        bootstrap_digest: Some(settings::Digest(Sha256::digest(OPERATOR_TOKEN).into())),
        peer: settings::Peer {
            address: peers[index],
            peers: other_peers.collect(),
            keys: vec![settings::Key { id: 1, secret: PEER_KEY }],
            cross_domain_latency: Duration::from_micros(500),
        },
        table: Arc::clone(&platform) as _,
        machines: Some(platform),
    })
}

fn start_engine(
    domain: &'static str,
    stage: usize,
    layers: [u16; 2],
    kind: &str,
    layer_us: u32,
) -> Result<EngineEndpoint, Error> {
    let engine_spec = json!({
        "accelerator": kind, "layer_us": layer_us, "slots": 16, "link_us": 50,
        "holds": [{"pipeline": MODEL, "version": 1, "layers": layers}],
    });
    let parsed_spec: Engine = serde_json::from_value(engine_spec.clone())?;
    let models = HashMap::from([(Name::try_from(MODEL)?, LAYERS)]);
    let instance = engine::Instance::start(LOOPBACK, parsed_spec, models)?;
    let spec =
        json!({"address": instance.address(), "domain": domain, "role": {"engine": engine_spec}});
    let name = format!("{domain}-stage-{stage}-{kind}");
    Ok(EngineEndpoint { name, domain, spec, instance })
}

//! A whole system in one process: platform, endpoints and routers.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
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

/// Loopback with any free port.
pub const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Name of the model that the world serves.
pub const MODEL: &str = "advisor";

/// Its number of layers.
pub const LAYERS: u16 = 24;

/// Token of the operators.
pub const OPERATOR_TOKEN: &str = "aksu-operator-token";

/// Token of a calling team.
pub const CALLER_TOKEN: &str = "aksu-advisors-token";

/// Time for one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(500);

/// Key that authenticates the routers of a world to one another.
const PEER_KEY: [u8; settings::KEY_BYTES] = [7; settings::KEY_BYTES];

quick_error! {
    /// Why a world did not start.
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
        /// A name is not allowed.
        Resource(error: resource::Error) {
            from()
            display("{}", error)
        }
        /// An engine's description is not allowed.
        Engine(error: serde_json::Error) {
            from()
            display("the engine cannot be described: {}", error)
        }
    }
}

/// One engine of a world.
pub struct Placed {
    /// Its name as an endpoint.
    pub name: String,
    /// Its failure domain.
    pub domain: &'static str,
    /// Its specification as a resource.
    pub spec: Value,
    /// The running engine.
    pub instance: engine::Instance,
}

/// Everything that runs.
pub struct World {
    /// The platform.
    pub platform: platform::Instance,
    /// The engines: two domains, two kinds of accelerator, three stages.
    pub engines: Vec<Placed>,
    /// The service `operations`.
    pub service: service::Instance,
    /// Four routers, two in each domain.
    pub routers: Vec<RunningNode>,
}

impl World {
    /// Starts a world on loopback.
    pub fn start(log: &Logger) -> Result<Self, Error> {
        let platform = platform::Instance::start(ANY, platform::Rates::default())?;
        let service = service::Instance::start(ANY)?;
        let mut engines = Vec::new();
        for domain in ["almaty-a", "almaty-b"] {
            for (stage, layers) in [[0, 8], [8, 16], [16, 24]].into_iter().enumerate() {
                for (kind, layer_us) in [("large", 20), ("small", 40)] {
                    engines.push(place(domain, stage, layers, kind, layer_us)?);
                }
            }
        }
        let peers = (0..4).map(|_| free_address()).collect::<io::Result<Vec<_>>>()?;
        let mut routers = Vec::new();
        for index in 0..peers.len() {
            let settings = router(index, &peers, platform.address())?;
            let log = log.new(slog::o!("router" => index + 1));
            routers.push(RunningNode::start(settings, log)?);
        }
        Ok(Self { platform, engines, service, routers })
    }

    /// The resources that make the world serve, in the order in which they
    /// are applied: kind, name, specification.
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
        for placed in &self.engines {
            resources.push(("endpoint", placed.name.clone(), placed.spec.clone()));
        }
        resources.push(("route", MODEL.into(), json!({"model": MODEL, "pipeline": MODEL})));
        resources
    }
}

/// A loopback address whose port is free for UDP and TCP.
///
/// Another program may take it before it is used; the next try finds another.
pub fn free_address() -> io::Result<SocketAddr> {
    loop {
        let address = TcpListener::bind(ANY)?.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

/// The settings of router `index` of a world.
fn router(
    index: usize,
    peers: &[SocketAddr],
    platform: SocketAddr,
) -> Result<node::Settings, Error> {
    let client = Arc::new(Client::new(http::client::Settings::default()));
    let platform = Arc::new(protocol::http::Adapter::new(client, platform, PLATFORM_TIMEOUT));
    let others = peers.iter().enumerate().filter(|(i, _)| *i != index).map(|(_, peer)| *peer);
    Ok(node::Settings {
        node: settings::Node {
            name: Name::try_from(format!("router-{}", index + 1))?,
            domain: Name::try_from(if index < 2 { "almaty-a" } else { "almaty-b" })?,
            region: Name::try_from("almaty")?,
            drain: Duration::from_secs(10),
        },
        callers: ANY,
        limits: http::Settings::default(),
        queue_bytes: 8 << 20,
        operators: ANY,
        bootstrap_digest: Some(settings::Digest(Sha256::digest(OPERATOR_TOKEN).into())),
        peer: settings::Peer {
            address: peers[index],
            peers: others.collect(),
            keys: vec![settings::Key { id: 1, secret: PEER_KEY }],
            cross_domain_latency: Duration::from_micros(500),
        },
        table: Arc::clone(&platform) as _,
        machines: Some(platform),
    })
}

fn place(
    domain: &'static str,
    stage: usize,
    layers: [u16; 2],
    kind: &str,
    layer_us: u32,
) -> Result<Placed, Error> {
    let engine = json!({
        "accelerator": kind, "layer_us": layer_us, "slots": 16, "link_us": 50,
        "holds": [{"pipeline": MODEL, "version": 1, "layers": layers}],
    });
    let checked: Engine = serde_json::from_value(engine.clone())?;
    let models = HashMap::from([(Name::try_from(MODEL)?, LAYERS)]);
    let instance = engine::Instance::start(ANY, checked, models)?;
    let spec = json!({"address": instance.address(), "domain": domain, "role": {"engine": engine}});
    let name = format!("{domain}-stage-{stage}-{kind}");
    Ok(Placed { name, domain, spec, instance })
}

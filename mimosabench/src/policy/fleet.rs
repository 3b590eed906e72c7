//! The simulated fleet and the request mixes sent to it.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosashift::resource::{
    Endpoint, Engine, Layers, ModelLayers, Name, Pipeline, Resource, Role, Snapshot, Spec,
};
use mimosashift::route::Distances;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use smallvec::smallvec;

/// Layers of the model.
pub const LAYERS: u16 = 16;
/// Stages that a replica is divided into.
pub const STAGES: u16 = 4;
/// Layers of one stage.
pub const STAGE_LAYERS: u16 = LAYERS / STAGES;
/// Failure domains of the region.
pub const DOMAINS: usize = 3;
/// Number of routers; the first failure domain has two of them.
pub const ROUTERS: usize = 4;
/// Version of the model.
pub const VERSION: u32 = 1;

/// Bytes of activation passed between two stages for one token.
pub const HIDDEN_BYTES: u32 = 8_192;
/// Bytes of KV cache that one layer keeps for one token.
pub const KV_BYTES: u32 = 4_096;
/// Latency between failure domains, one way.
const CROSSING: Duration = Duration::from_micros(400);

/// Sequences that one iteration of an engine batches.
const SLOTS: u16 = 4;
/// Kinds of accelerator by the time that one layer takes, in microseconds.
const LAYER_US: [u32; 5] = [1_500, 2_000, 2_500, 3_500, 5_000];
/// Kinds of link: one-way latency in microseconds, bandwidth in bytes a second.
const LINKS: [(u32, u64); 3] = [(50, 1_250_000_000), (300, 125_000_000), (1_000, 12_500_000)];

/// Distribution of request sizes and their deadline.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Name in tables and plots.
    pub name: &'static str,
    /// Minimum and maximum prompt length in tokens.
    pub prompt: (u32, u32),
    /// Minimum and maximum answer length in tokens.
    pub answer: (u32, u32),
    /// Time from arrival to deadline.
    pub deadline: Duration,
    /// Time until the load reaches a steady state.
    pub warm_up: Duration,
}

/// Few requests with long answers.
pub const BOARD: Mix = Mix {
    name: "board",
    prompt: (64, 192),
    answer: (200, 400),
    deadline: Duration::from_secs(120),
    warm_up: Duration::from_secs(60),
};

/// Many interactive requests with short answers.
pub const AKSU: Mix = Mix {
    name: "aksu",
    prompt: (16, 64),
    answer: (10, 40),
    deadline: Duration::from_secs(8),
    warm_up: Duration::from_secs(15),
};

/// All endpoints as declared in the configuration.
#[derive(Debug)]
pub struct Fleet {
    /// Endpoints by index; the endpoints of a replica are adjacent.
    pub endpoints: Vec<(Name, Endpoint)>,
    /// The configuration snapshot that declares them.
    pub snapshot: Snapshot,
    /// Name of the model's pipeline.
    pub pipeline: Name,
}

impl Mix {
    /// Mean tokens of prompt and answer.
    pub fn means(&self) -> (f64, f64) {
        let mean = |(least, most): (u32, u32)| f64::from(least + most) / 2.0;
        (mean(self.prompt), mean(self.answer))
    }

    /// Draws a prompt and the length of its answer.
    pub fn draw(&self, rng: &mut Pcg64Mcg) -> (Vec<u32>, u32) {
        let length = rng.random_range(self.prompt.0..=self.prompt.1);
        let prompt = (0..length).map(|_| rng.random_range(0..50_000)).collect();
        (prompt, rng.random_range(self.answer.0..=self.answer.1))
    }
}

impl Fleet {
    /// Creates a fleet of `replicas` replicas that covers all kinds of accelerator
    /// and link.
    pub fn new(replicas: usize) -> Self {
        let pipeline = name("model");
        let spec = Spec::Pipeline(Pipeline {
            layers: LAYERS,
            version: VERSION,
            adapters: Vec::new(),
            copies: 2,
            hidden_bytes: HIDDEN_BYTES,
            kv_bytes: KV_BYTES,
        });
        let mut resources = vec![Resource { name: pipeline.clone(), revision: 1, spec }];
        let mut endpoints = Vec::new();
        for number in 0..replicas * usize::from(STAGES) {
            let endpoint = endpoint(number, &pipeline);
            let key = name(&format!("e{number}"));
            let spec = Spec::Endpoint(endpoint.clone());
            resources.push(Resource { name: key.clone(), revision: 1, spec });
            endpoints.push((key, endpoint));
        }
        Self { endpoints, snapshot: Snapshot::new(1, resources), pipeline }
    }

    /// The engine of an endpoint.
    pub fn engine(&self, number: usize) -> &Engine {
        match &self.endpoints[number].1.role {
            Role::Engine(engine) => engine,
            Role::Service(_) => unreachable!("the simulated fleet has only engines"),
        }
    }

    /// Index of the failure domain of an endpoint.
    pub fn domain(&self, number: usize) -> usize {
        number / usize::from(STAGES) % DOMAINS
    }

    /// One-way latency between a router and an endpoint.
    pub fn latency(&self, router: usize, number: usize) -> Duration {
        let link = Duration::from_micros(u64::from(self.engine(number).link_us));
        let crosses = router_domain(router) != self.domain(number);
        if crosses { link + CROSSING } else { link }
    }
}

/// Index of the failure domain of a router.
pub const fn router_domain(router: usize) -> usize {
    router % DOMAINS
}

/// Network distances as seen from a router.
pub fn distances(router: usize) -> Distances {
    Distances::new(domain_name(router_domain(router)), CROSSING, BTreeMap::new())
}

/// Index of an endpoint, parsed from its name.
pub fn number(endpoint: &Name) -> usize {
    endpoint.as_str()[1..].parse().expect("endpoint names end in their index")
}

/// Parses a name that is known to be valid.
pub fn name(text: &str) -> Name {
    Name::try_from(text).expect("benchmark resource names are valid")
}

fn domain_name(domain: usize) -> Name {
    name(&format!("domain-{domain}"))
}

fn endpoint(number: usize, pipeline: &Name) -> Endpoint {
    let (replica, stage) = (number / usize::from(STAGES), number % usize::from(STAGES));
    let kind = (replica + stage) % LAYER_US.len();
    let (link_us, link_bytes_per_second) = LINKS[(replica + 2 * stage) % LINKS.len()];
    let start = stage as u16 * STAGE_LAYERS;
    let layers =
        Layers::try_from((start, start + STAGE_LAYERS)).expect("a stage has at least one layer");
    let engine = Engine {
        accelerator: name(&format!("kind-{kind}")),
        layer_us: LAYER_US[kind],
        slots: SLOTS,
        link_us,
        link_bytes_per_second,
        holds: smallvec![ModelLayers { pipeline: pipeline.clone(), version: VERSION, layers }],
        checks_fencing: true,
    };
    Endpoint {
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: domain_name(replica % DOMAINS),
        role: Role::Engine(Box::new(engine)),
    }
}

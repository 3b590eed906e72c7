//! Cost of heartbeats between routers, in virtual time.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use mimosashift::health::probe::{self, Router};
use mimosashift::member::{Identity, Membership, Report};
use mimosashift::resource::Name;
use mimosashift::time::Instant;
use mimosashift::wire::message::Payload;
use mimosashift::wire::{Frame, Key, KeyRing, MAX_DATAGRAM_BYTES, Message, ReplayFilter};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Series, cpu, fleet, memory};

const ROLE: &str = "membership";
const ROUTERS: [usize; 5] = [4, 44, 110, 220, 370];

/// Virtual duration of one step.
const STEP: Duration = Duration::from_millis(50);

/// Warm-up steps until all routers have discovered each other.
const SETTLE_STEPS: usize = 600;

/// Number of measured steps.
const MEASURED_STEPS: usize = 400;

/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// Payload bytes of other components' reports in each heartbeat.
const REPORT_BYTES: usize = 64;

/// Maximum report bytes in a heartbeat of the node.
pub const MAX_REPORT_BYTES: usize = 480;

/// Cost of heartbeats per router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Bytes per second sent and received, mean over all routers.
    pub mean_bytes: f64,
    /// Bytes per second sent and received by the busiest router.
    pub max_bytes: f64,
    /// Datagrams per second sent and received, mean over all routers.
    pub messages: f64,
    /// CPU time in microseconds per second, mean over all routers, including
    /// sealing and opening frames but not sockets.
    pub micros: f64,
    /// Memory in bytes, mean over all routers.
    pub memory: f64,
}

/// Distribution of endpoint probes over routers, as means per router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProbeDivision {
    /// Other routers considered alive.
    pub alive: f64,
    /// Endpoints probed in each round.
    pub probes: f64,
}

/// Measures the cost by number of routers.
pub fn measure() -> Vec<Series> {
    let all = |report_bytes| -> Vec<_> {
        ROUTERS.iter().map(|&n| (n, cost(n, domains_of(n), report_bytes))).collect()
    };
    let (costs, full) = (all(REPORT_BYTES), all(MAX_REPORT_BYTES));
    let series = |quantity, unit, value: fn(&Cost) -> f64| {
        let points = costs.iter().map(|(n, cost)| (*n as f64, value(cost))).collect();
        Series { role: ROLE, quantity, unit, size: "routers", points }
    };
    vec![
        series("heartbeats, mean router", "bytes/s", |cost| cost.mean_bytes),
        series("heartbeats, busiest router", "bytes/s", |cost| cost.max_bytes),
        Series {
            role: ROLE,
            quantity: "heartbeats full of reports, mean router",
            unit: "bytes/s",
            size: "routers",
            points: full.iter().map(|(n, cost)| (*n as f64, cost.mean_bytes)).collect(),
        },
        series("datagrams, sent and received", "1/s", |cost| cost.messages),
        series("heartbeats, without sockets", "µs/s", |cost| cost.micros),
        series("state", "bytes", |cost| cost.memory),
    ]
}

/// Heartbeat cost per router in a cluster of `routers` routers, with `report_bytes`
/// of reports in each heartbeat.
pub fn cost(routers: usize, domains: usize, report_bytes: usize) -> Cost {
    let (mut cluster, allocations) = memory::counted(|| {
        let mut cluster = Cluster::new(routers, domains, report_bytes);
        cluster.run(SETTLE_STEPS);
        cluster.in_flight.clear();
        cluster.in_flight.shrink_to_fit();
        cluster
    });
    cluster.nodes.iter_mut().for_each(|node| (node.bytes, node.messages) = (0, 0));
    let start = cpu::thread_nanos();
    cluster.run(MEASURED_STEPS);
    let micros = (cpu::thread_nanos() - start) as f64 / 1e3;
    let seconds = (STEP * MEASURED_STEPS as u32).as_secs_f64();
    let per_node = |total: f64| total / routers as f64;
    let sum = |of: fn(&Node) -> usize| cluster.nodes.iter().map(of).sum::<usize>() as f64;
    let max_bytes = cluster.nodes.iter().map(|node| node.bytes).max().unwrap_or_default();
    Cost {
        mean_bytes: per_node(sum(|node| node.bytes)) / seconds,
        max_bytes: max_bytes as f64 / seconds,
        messages: per_node(sum(|node| node.messages)) / seconds,
        micros: per_node(micros) / seconds,
        memory: per_node(allocations.retained as f64),
    }
}

/// Measures how `routers` routers divide the probes of `endpoints` endpoints.
pub fn probe_division(routers: usize, domains: usize, endpoints: usize) -> ProbeDivision {
    let mut cluster = Cluster::new(routers, domains, 0);
    cluster.run(SETTLE_STEPS);
    let all: Vec<_> = (0..endpoints)
        .map(|n| (fleet::name(&format!("engine-{n:04}")), domain(n % domains)))
        .collect();
    let (mut alive, mut probes) = (0, 0);
    for node in &cluster.nodes {
        let own = node.membership.identity();
        let others = node.membership.alive(cluster.now).map(|member| &member.heartbeat);
        let mut known: Vec<_> =
            others.map(|h| Router { name: h.node.as_str(), domain: &h.domain }).collect();
        alive += known.len();
        known.push(Router { name: own.node.as_str(), domain: &own.domain });
        let mine = |(name, domain): &&(Name, Name)| {
            probe::poller(name, domain, &known).is_some_and(|r| r.name == own.node.as_str())
        };
        probes += all.iter().filter(mine).count();
    }
    let per_node = |count: usize| count as f64 / routers as f64;
    ProbeDivision { alive: per_node(alive), probes: per_node(probes) }
}

/// Size in bytes of the datagram that carries `message`, including headers.
pub fn datagram_bytes(message: Message) -> usize {
    let frame = Frame {
        sender: fleet::name("router-100"),
        incarnation: 1_700_000_000_000_000 << 10,
        sequence: 1_000_000,
        message,
    };
    let sealed = ring().seal(&frame, MAX_DATAGRAM_BYTES);
    HEADER_BYTES + sealed.expect("a small message fits a datagram").len()
}

fn ring() -> KeyRing {
    let key = Key::new(1, *b"0123456789abcdef").expect("the secret is long enough");
    KeyRing::new(key, None)
}

const fn domains_of(routers: usize) -> usize {
    if routers < 11 { 3 } else { fleet::DOMAINS }
}

struct Node {
    membership: Membership,
    replay_filter: ReplayFilter,
    sequence: u64,
    bytes: usize,
    messages: usize,
    rng: Pcg64Mcg,
}

/// Simulated cluster driven in one loop; a datagram arrives in the next step.
struct Cluster {
    now: Instant,
    nodes: Vec<Node>,
    ring: KeyRing,
    report: Report,
    in_flight: VecDeque<(usize, Vec<u8>)>,
}

impl Cluster {
    fn new(routers: usize, domains: usize, report_bytes: usize) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let addresses: Vec<_> = (0..routers).map(address).collect();
        let payload = Payload { tag: 1, bytes: vec![1; report_bytes] };
        let node = |index| {
            let incarnation = mimosashift::member::incarnation(1_000_000, &mut rng);
            let own = Identity {
                node: fleet::name(&format!("router-{index}")),
                domain: domain(index % domains),
                address: address(index),
                incarnation,
            };
            Node {
                membership: Membership::new(own, &addresses),
                replay_filter: ReplayFilter::default(),
                sequence: 0,
                bytes: 0,
                messages: 0,
                rng: Pcg64Mcg::seed_from_u64(rng.random()),
            }
        };
        Self {
            now: Instant::from_millis(1_000_000),
            nodes: (0..routers).map(node).collect(),
            ring: ring(),
            report: Report { payloads: vec![payload], ..Report::default() },
            in_flight: VecDeque::new(),
        }
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now = self.now + STEP;
            for (to, bytes) in std::mem::take(&mut self.in_flight) {
                self.receive(to, &bytes);
            }
            (0..self.nodes.len()).for_each(|index| self.tick(index));
        }
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        for send in node.membership.tick(self.now, &self.report, &mut node.rng) {
            node.sequence += 1;
            let own = node.membership.identity();
            let frame = Frame {
                sender: own.node.clone(),
                incarnation: own.incarnation,
                sequence: node.sequence,
                message: Message::Heartbeat(send.heartbeat),
            };
            let sealed = self.ring.seal(&frame, MAX_DATAGRAM_BYTES);
            let bytes = sealed.expect("a heartbeat fits a datagram");
            node.count(&bytes);
            self.in_flight.push_back((index_of(send.to), bytes));
        }
    }

    fn receive(&mut self, to: usize, bytes: &[u8]) {
        let opened = self.ring.open(bytes, MAX_DATAGRAM_BYTES);
        let frame = opened.expect("a sealed frame can be opened");
        let node = &mut self.nodes[to];
        node.count(bytes);
        let is_new = node.replay_filter.accept(&frame.sender, frame.incarnation, frame.sequence);
        if let (true, Message::Heartbeat(heartbeat)) = (is_new, frame.message) {
            node.membership.on_heartbeat(self.now, heartbeat);
        }
    }
}

impl Node {
    fn count(&mut self, bytes: &[u8]) {
        self.bytes += HEADER_BYTES + bytes.len();
        self.messages += 1;
    }
}

fn domain(number: usize) -> Name {
    fleet::name(&format!("domain-{number}"))
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

//! Cost of configuration: snapshot size, changes, replication to other routers
//! and table reads.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use mimosashift::config::call::run;
use mimosashift::config::change::Commit;
use mimosashift::config::load::Load;
use mimosashift::config::poll::Poll;
use mimosashift::config::replication::{Action, Peer, Replicator};
use mimosashift::config::transfer::{Reply, Request, SnapshotCursor};
use mimosashift::config::{Change, ChangeId, Precondition, Record, State};
use mimosashift::platform::{self, Outcome, Page, Row, Table, Transaction};
use mimosashift::resource::{Kind, Resource};
use mimosashift::time::Instant;
use mimosashift::wire::message::EncodedReply;
use mimosashift::wire::{Frame, Key, KeyRing, MAX_STREAM_BYTES, Message};
use mimosastandin::platform::{Instance, Rates};
use mimosastandin::testbed::LOOPBACK;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::series::series;
use super::{Error, Series, cpu, fleet, memory};

const ROLE: &str = "configuration";
const RESOURCES: [usize; 5] = [1_000, 4_000, 8_000, 16_000, 35_001];
const TABLE_RESOURCES: [usize; 4] = [250, 1_000, 2_000, 4_000];
const DOMAINS: [usize; 4] = [1, 3, 6, 11];

/// Routers per failure domain when polls are measured; only one of them polls,
/// regardless of their number.
const ROUTERS: usize = 4;

/// Warm-up time until each domain has one poller.
const SETTLE: Duration = Duration::from_secs(10);

/// Measurement time for polls.
const MEASURED: Duration = Duration::from_secs(100);

/// Tick interval of a router.
const TICK: Duration = Duration::from_millis(50);

/// Measures the cost by number of resources and of failure domains.
pub fn measure() -> Result<Vec<Series>, Error> {
    let mut table_calls = Vec::new();
    let mut transfer_bytes = Vec::new();
    for resources in TABLE_RESOURCES {
        let (table, state) = populated_table(resources)?;
        table_calls.push((resources as f64, load_calls(&table)? as f64));
        transfer_bytes.push((resources as f64, transfer(&state)? as f64));
    }
    let mut polls = Vec::new();
    for domains in DOMAINS {
        polls.push((domains as f64, polls_per_second(domains)?));
    }
    let of = |quantity, unit, size, points| Series { role: ROLE, quantity, unit, size, points };
    Ok(vec![
        series([ROLE, "snapshot", "bytes", "resources"], &RESOURCES, snapshot_bytes),
        series([ROLE, "change applied", "µs", "resources"], &RESOURCES, micros_per_change),
        series([ROLE, "revision kept beside it", "bytes", "resources"], &RESOURCES, revision_bytes),
        of("snapshot sent to a new router", "bytes", "resources", transfer_bytes),
        of("table calls of a full load", "1", "resources", table_calls),
        of("table reads of all pollers", "1/s", "domains", polls),
    ])
}

/// Splits `resources` into teams and endpoints in the ratio of a large deployment.
pub fn team_endpoint_split(resources: usize) -> (usize, usize) {
    let endpoints = resources * 4 / 35;
    (resources - endpoints, endpoints)
}

/// Memory retained by a snapshot.
pub fn snapshot_bytes(resources: usize) -> f64 {
    let (teams, endpoints) = team_endpoint_split(resources);
    memory::retained(|| fleet::snapshot(teams, endpoints)).1
}

/// Table reads per second by the pollers of all failure domains.
pub fn polls_per_second(domains: usize) -> Result<f64, Error> {
    let (table, _) = populated_table(1)?;
    let table = CountingTable::new(&table);
    let mut now = Instant::from_millis(1_000_000);
    let mut groups: Vec<_> = (0..domains).map(DomainRouters::new).collect();
    let mut step = |groups: &mut Vec<DomainRouters>, time: Duration| {
        let end = now + time;
        while now < end {
            now = now + TICK;
            groups.iter_mut().for_each(|group| group.tick(now, &table));
        }
    };
    step(&mut groups, SETTLE);
    let before = table.reads();
    step(&mut groups, MEASURED);
    Ok((table.reads() - before) as f64 / MEASURED.as_secs_f64())
}

/// Number of table calls for a full load by a router without peers.
pub fn load_calls(table: &Instance) -> Result<u64, Error> {
    let counting = CountingTable::new(table);
    run(&counting, Load::new(0)).map_err(|error| Error::Call(error.to_string()))?;
    Ok(counting.reads())
}

/// Creates a table by declaring `resources` teams and endpoints one by one;
/// returns it with the resulting state.
pub fn populated_table(resources: usize) -> Result<(Instance, State), Error> {
    let (teams, endpoints) = team_endpoint_split(resources);
    let table = unlimited_table()?;
    let mut state = State::default();
    let declared = (0..teams).map(fleet::team).chain((0..endpoints).map(fleet::endpoint));
    for resource in fleet::base().into_iter().chain(declared) {
        state = commit(&table, state, resource)?.0;
    }
    Ok((table, state))
}

/// Declares a resource; returns the new state and the audit records.
pub(super) fn commit(
    table: &Instance,
    state: State,
    resource: Resource,
) -> Result<(State, Vec<Record>), Error> {
    let id = ChangeId(u128::from(state.version().revision) + 1);
    let committed = run(table, Commit::new(change(id, resource), state));
    let progress = committed.map_err(|error| Error::Call(error.to_string()))?.progress;
    Ok((progress.state, progress.records))
}

/// A table without rate limits.
pub(super) fn unlimited_table() -> io::Result<Instance> {
    Instance::start(LOOPBACK, Rates { writes_per_second: 1e12, reads_per_second: 1e12 })
}

/// Size in bytes of a frame that carries `reply` to a peer.
pub(super) fn frame_bytes(reply: &Reply) -> Result<usize, Error> {
    let key = Key::new(1, *b"0123456789abcdef").expect("the secret is long enough");
    let frame = Frame {
        sender: fleet::name("router-1"),
        incarnation: 1,
        sequence: 1,
        message: Message::Reply(EncodedReply::from(reply)),
    };
    let sealed = KeyRing::new(key, None).seal(&frame, MAX_STREAM_BYTES);
    Ok(sealed.map_err(|error| Error::Call(error.to_string()))?.len())
}

fn change(id: ChangeId, resource: Resource) -> Change {
    Change {
        id,
        operator: "operator".to_owned(),
        origin: "127.0.0.1".to_owned(),
        at_unix_ms: 1,
        kind: resource.spec.kind(),
        name: resource.name,
        spec: Some(resource.spec),
        precondition: Precondition::Any,
        dry_run: false,
    }
}

/// Total bytes of the chunks that transfer a snapshot to an empty router.
fn transfer(state: &State) -> Result<usize, Error> {
    let mut source = Replicator::new(fleet::name("router-1"));
    source.install_progress(&state.clone().into(), &[]);
    let mut request = Request { have: Default::default(), part: None };
    let mut bytes = 0;
    loop {
        let reply = source.answer(&request);
        bytes += frame_bytes(&reply)?;
        let Reply::Chunk(chunk) = reply else { return Ok(bytes) };
        let Some(last) = chunk.resources.last().filter(|_| chunk.more) else { return Ok(bytes) };
        let (kind, name) = (last.spec.kind(), last.name.clone());
        request.part = Some(SnapshotCursor { version: chunk.version, kind, name });
    }
}

fn micros_per_change(resources: usize) -> f64 {
    let (teams, endpoints) = team_endpoint_split(resources);
    let snapshot = fleet::snapshot(teams, endpoints);
    let mut next = 0;
    cpu::micros_per_call(|| {
        let Resource { name, spec, .. } = fleet_team(&snapshot, next * 31 % teams);
        next += 1;
        snapshot.with(2, Kind::Team, &name, Some(spec));
    })
}

/// Memory retained per additional revision, next to its predecessor.
pub fn revision_bytes(resources: usize) -> f64 {
    const REVISIONS: usize = 100;
    let (teams, endpoints) = team_endpoint_split(resources);
    let first = fleet::snapshot(teams, endpoints);
    let changed = || {
        let mut last = first.clone();
        let mut kept = Vec::with_capacity(REVISIONS);
        for revision in 0..REVISIONS {
            let Resource { name, spec, .. } = fleet_team(&last, revision * 31 % teams);
            last = last.with(revision as u64 + 2, Kind::Team, &name, Some(spec));
            kept.push(last.clone());
        }
        kept
    };
    memory::retained(changed).1 / REVISIONS as f64
}

fn fleet_team(snapshot: &mimosashift::resource::Snapshot, number: usize) -> Resource {
    let name = fleet::name(&format!("team-{number:05}"));
    snapshot.get(Kind::Team, &name).expect("the team was declared").clone()
}

/// The routers of one failure domain.
struct DomainRouters {
    routers: Vec<(String, Replicator)>,
    rng: Pcg64Mcg,
}

impl DomainRouters {
    fn new(domain: usize) -> Self {
        let router = |router| {
            let name = format!("router-{domain}-{router}");
            let replicator = Replicator::new(fleet::name(&name));
            (name, replicator)
        };
        let routers = (0..ROUTERS).map(router).collect();
        Self { routers, rng: Pcg64Mcg::seed_from_u64(domain as u64) }
    }

    fn tick(&mut self, now: Instant, table: &dyn Table) {
        for index in 0..self.routers.len() {
            let peers = self.peers(index);
            let replicator = &mut self.routers[index].1;
            for action in replicator.tick(now, &peers, &mut self.rng) {
                self.perform(index, action, now, table);
            }
        }
    }

    fn perform(&mut self, index: usize, action: Action, now: Instant, table: &dyn Table) {
        match action {
            Action::Poll(state) => {
                let peers = self.peers(index);
                let result = run(table, Poll::new(state));
                self.routers[index].1.on_poll(now, result, &peers);
            }
            Action::Pull(peer, request) => {
                let from = self.routers.iter().find(|(name, _)| name == peer.as_str());
                let reply = from.expect("a router pulls from its peers").1.answer(&request);
                for next in self.routers[index].1.on_reply(now, &peer, reply) {
                    self.perform(index, next, now, table);
                }
            }
            Action::Push(..) | Action::Alarm(_) => {}
        }
    }

    fn peers(&self, index: usize) -> Vec<Peer> {
        let others = self.routers.iter().enumerate().filter(|(other, _)| *other != index);
        let peer = |(_, (name, replicator)): (usize, &(String, Replicator))| Peer {
            node: fleet::name(name),
            same_domain: true,
            version: replicator.store().version(),
            polled: replicator.polled(),
        };
        others.map(peer).collect()
    }
}

/// A table that counts read calls.
struct CountingTable<'a> {
    table: &'a Instance,
    reads: AtomicU64,
}

impl<'a> CountingTable<'a> {
    fn new(table: &'a Instance) -> Self {
        Self { table, reads: AtomicU64::new(0) }
    }

    fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }
}

impl Table for CountingTable<'_> {
    fn commit(&self, transaction: &Transaction) -> Outcome<u64> {
        self.table.commit(transaction)
    }

    fn read(&self, key: &platform::Key) -> Outcome<Option<Row>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.table.read(key)
    }

    fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Outcome<Page> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        self.table.scan(table, prefix, after, limit)
    }
}

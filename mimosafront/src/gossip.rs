//! Exchanges digests with other routers.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mimosaplatform::config;
use mimosaplatform::store::Position;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Incarnation, Member, Observation, name_key};
use mimosashift::peer::wire::{self, CONFIG_REQUEST, DIRECTORY_REQUEST, Received};
use mimosashift::peer::{Config, Digest, Directory, Due, Format, MAX_DIGEST_BYTES};
use mimosashift::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::state::RouterState;
use crate::{BUILD, clock, probe};

/// Interval of the checks for peers to which a digest is due; also the delay
/// after a failed accept.
const SEND_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time limit for fetching a configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time in which a peer sends its request after it has connected.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Minimum time between two fetches of a configuration.
const MIN_FETCH_INTERVAL: Duration = Duration::from_millis(300);

/// Largest answer of a peer; configurations and directories are far smaller.
const MAX_FETCHED_BYTES: u64 = 16 * 1024 * 1024;

/// Age of the last store answer above which a configuration is fetched from a
/// peer.
const STORE_STALE_AFTER: Duration = Duration::from_millis(1_200);

/// Time for which a change seen in an endpoint's report is included in digests.
const OBSERVATION_TTL: Duration = Duration::from_secs(3);

/// Exchanges digests until the router exits.
pub async fn run(state: Rc<RouterState>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DIGEST_BYTES];
    let mut tick = tokio::time::interval(SEND_CHECK_INTERVAL);
    let mut last_fetch = Instant::ZERO;
    loop {
        tokio::select! {
            _ = tick.tick() => send(&state, &socket).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&state, &buffer[..length], from, &mut last_fetch),
                Err(error) => {
                    // For example an ICMP error for an earlier datagram.
                    emit!(state.log, Event::MemberUnreachable, "error" => error.to_string());
                }
            }
        }
    }
}

async fn send(state: &Rc<RouterState>, socket: &UdpSocket) {
    let now = clock::now();
    let due = state.peers.borrow_mut().due(now);
    if due.is_empty() {
        return;
    }
    state.update_quarantine("expiry", |quarantine| quarantine.expire(now));
    let routers = state.peers.borrow().alive(now).count() + 1;
    state.fleet.borrow_mut().update_limits(routers, now);
    let mut digest = digest(state, now);
    digest.truncate(&mut state.rng.borrow_mut());
    for Due { to, echo, format } in due {
        digest.echo = echo;
        digest.sent_at = clock::now();
        digest.sequence = state.peers.borrow_mut().next_sequence();
        let bytes = wire::encode(&digest, format);
        state.peers.borrow_mut().record_size(bytes.len());
        // A failed send equals a lost datagram: the next digest follows soon.
        if socket.send_to(&bytes, to).await.is_ok() {
            state.meter.heartbeats_sent(1);
        }
    }
}

fn digest(state: &RouterState, now: Instant) -> Digest {
    state.observed.borrow_mut().retain(|(at, _)| now.since(*at) < OBSERVATION_TTL);
    let config = state.deployment().map(|deployment| Config {
        revision: deployment.revision,
        age: state.config_freshness.get().age(now),
    });
    Digest {
        node: state.node().name.clone(),
        zone: state.node().zone.clone(),
        incarnation: state.incarnation,
        sequence: 0,
        sent_at: now,
        echo: None,
        leaving: state.stopping.is_set(),
        holds_placement_lease: state.holds_placement_lease.get(),
        config,
        store_age: state.last_store_answer.get().map(|at| now.since(at)),
        store_lost: state.store_lost.get(),
        directory: state.directory.borrow().as_ref().map(|directory| Directory {
            fingerprint: directory.fingerprint,
            age: now.since(directory.read_at),
        }),
        usage: state.fleet.borrow().digest(),
        observed: state
            .observed
            .borrow()
            .iter()
            .map(|(at, observed)| Observation { age: now.since(*at), ..*observed })
            .collect(),
        dead: dead_endpoints(state),
        leaving_endpoints: state.fleet.borrow().leaving(now),
        unreachable: state.reach.borrow().lost().map(|service| name_key(service)).collect(),
        suspects: state.quarantine.borrow().records(now),
        limits: state.fleet.borrow().limit_records(now),
        peers: state.peers.borrow().shared_addresses(now, &mut state.rng.borrow_mut()),
        build: Some(BUILD.into()),
        format: Format::Parts,
    }
}

/// The dead endpoints of services that this router reaches.
fn dead_endpoints(state: &RouterState) -> Vec<Incarnation> {
    let (fleet, reach) = (state.fleet.borrow(), state.reach.borrow());
    let dead = fleet.dead().filter(|member| !reach.is_lost(&member.endpoint.service));
    dead.map(Member::key).collect()
}

fn receive(state: &Rc<RouterState>, bytes: &[u8], from: SocketAddr, last_fetch: &mut Instant) {
    let now = clock::now();
    let Received { digest, malformed } = match wire::decode(bytes) {
        Ok(received) => received,
        Err(error) => {
            emit!(state.log, Event::MemberUnreadable, "from" => from.to_string(), "error" => error.to_string());
            return;
        }
    };
    if !malformed.is_empty() {
        emit!(state.log, Event::MemberUnreadable, "from" => from.to_string(), "node" => &*digest.node, "parts" => format!("{malformed:?}"));
    }
    state.meter.heartbeats_received(1);
    let event = state.peers.borrow_mut().on_digest(from, digest.clone(), now);
    match event {
        mimosashift::peer::Event::Outdated => return,
        mimosashift::peer::Event::Joined => {
            emit!(state.log, Event::MemberJoined, "node" => &*digest.node, "address" => from.to_string(), "incarnation" => digest.incarnation, "build" => digest.build.as_deref(), "format" => format!("{:?}", digest.format));
        }
        mimosashift::peer::Event::Renewed => {}
    }
    state.fleet.borrow_mut().merge_digest(&digest.node, &digest.usage, now);
    let random = state.random_fraction();
    let limited = state.fleet.borrow_mut().merge_limits(&digest.node, &digest.limits, now, random);
    for (id, change) in limited {
        state.log_limit(&id, &change, &digest.node);
    }
    state.apply_leaving(&digest.leaving_endpoints, &digest.node);
    // The digest may show free memory at an endpoint.
    state.waiting.wake();
    for seen in &digest.observed {
        let changed = state.fleet.borrow_mut().apply_observation(seen, now);
        if let Some(id) = changed {
            state.log_observed(&id, seen, &digest.node);
        }
    }
    if !digest.suspects.is_empty() {
        state.update_quarantine(&digest.node, |known| known.merge(&digest.suspects, now));
    }
    probe_reported_dead(state, &digest);
    apply_config(state, &digest, from, now, last_fetch);
}

/// Probes the endpoints that a peer reports dead, if the peer is in the own zone
/// or this router places layers.
fn probe_reported_dead(state: &Rc<RouterState>, digest: &Digest) {
    if !state.holds_placement_lease.get() && digest.zone != state.node().zone {
        return;
    }
    let hops = state.fleet.borrow().hops_by_key(&digest.dead);
    for hop in hops {
        let state = state.clone();
        // The result is recorded in the fleet.
        tokio::task::spawn_local(async move { drop(probe::check_alive(&state, &hop).await) });
    }
}

/// Applies what a peer knows of the configuration.
fn apply_config(
    state: &Rc<RouterState>,
    digest: &Digest,
    from: SocketAddr,
    now: Instant,
    last_fetch: &mut Instant,
) {
    let confirmation = digest.confirmation();
    if let Some(relayed) = confirmation.filter(|c| state.may_have_sent(c.request_sent, now)) {
        let mut freshness = state.config_freshness.get();
        if freshness.confirm_from_peer(&relayed, state.revision()) {
            state.config_freshness.set(freshness);
            state.config_confirmed.notify_waiters();
        }
    }
    let newer = digest.config.is_some_and(|config| config.revision > state.revision());
    let stale = state.last_store_answer.get().is_none_or(|at| now.since(at) > STORE_STALE_AFTER);
    // The routers of a zone take it from the one that reads the store for them.
    let is_local = digest.zone == state.node().zone;
    if newer && (stale || is_local) && now >= *last_fetch + MIN_FETCH_INTERVAL {
        *last_fetch = now;
        tokio::task::spawn_local(fetch_config(state.clone(), from, digest.format));
    }
}

async fn fetch_config(state: Rc<RouterState>, from: SocketAddr, format: Format) {
    // Older builds answer without a request.
    let request = (format == Format::Parts).then_some(CONFIG_REQUEST);
    let Some(bytes) = fetch(&state, from, request).await else { return };
    let decoded = String::from_utf8(bytes).map_err(|error| error.to_string()).and_then(|text| {
        let deployment = config::decode(&text).map_err(|error| error.to_string())?;
        Ok((deployment, text))
    });
    match decoded {
        Ok((deployment, text)) => {
            emit!(state.log, Event::ConfigFetched, "peer" => from.to_string(), "revision" => deployment.revision);
            state.install(deployment, &text, "peer");
        }
        Err(error) => {
            emit!(state.log, Event::ConfigUnreadable, "peer" => from.to_string(), "error" => error);
        }
    }
}

/// Takes the directory from a peer that has read it from the store.
pub async fn fetch_directory(state: &RouterState, from: SocketAddr) -> Option<wire::Directory> {
    let bytes = fetch(state, from, Some(DIRECTORY_REQUEST)).await?;
    match wire::Directory::try_from(&*bytes) {
        Ok(directory) => Some(directory),
        Err(error) => {
            emit!(state.log, Event::MemberUnreadable, "from" => from.to_string(), "error" => error.to_string());
            None
        }
    }
}

/// What a peer answers to a request; logs why there is no answer.
async fn fetch(state: &RouterState, from: SocketAddr, request: Option<u8>) -> Option<Vec<u8>> {
    let fetched = tokio::time::timeout(FETCH_TIMEOUT, read_from_peer(from, request)).await;
    let error = match fetched {
        Ok(Ok(bytes)) => return Some(bytes),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    emit!(state.log, Event::MemberUnreachable, "peer" => from.to_string(), "error" => error);
    None
}

async fn read_from_peer(from: SocketAddr, request: Option<u8>) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(from).await?;
    if let Some(request) = request {
        stream.write_u8(request).await?;
    }
    let length = stream.read_u64().await?;
    if length > MAX_FETCHED_BYTES {
        return Err(io::Error::other(format!(
            "answer of {length} bytes exceeds {MAX_FETCHED_BYTES}"
        )));
    }
    let mut bytes = Vec::new();
    stream.take(length).read_to_end(&mut bytes).await?;
    if bytes.len() as u64 == length { Ok(bytes) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
}

/// Serves the configuration and the directory to peers.
pub async fn serve_peers(state: Rc<RouterState>, listener: TcpListener) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            tokio::time::sleep(SEND_CHECK_INTERVAL).await;
            continue;
        };
        let state = state.clone();
        tokio::task::spawn_local(async move {
            // Older builds wait for the configuration without a request.
            let request = tokio::time::timeout(REQUEST_TIMEOUT, stream.read_u8()).await;
            let answer = match request {
                Ok(Ok(DIRECTORY_REQUEST)) => encoded_directory(&state),
                Ok(Ok(_)) | Err(_) => {
                    let active = state.active_config.borrow();
                    active.as_ref().map(|active| active.text.as_bytes().to_vec())
                }
                Ok(Err(_)) => None,
            };
            let Some(answer) = answer else { return };
            let sent = async {
                stream.write_u64(answer.len() as u64).await?;
                stream.write_all(&answer).await?;
                stream.shutdown().await
            };
            // The peer detects a truncated response and fetches again.
            drop(tokio::time::timeout(FETCH_TIMEOUT, sent).await);
        });
    }
}

/// The directory as last read; `None` before the first read.
fn encoded_directory(state: &RouterState) -> Option<Vec<u8>> {
    let now = clock::now();
    let directory = state.directory.borrow();
    let directory = directory.as_ref()?;
    let Position { era, revision } = directory.position;
    Some(Vec::from(&wire::Directory {
        position: (era, revision),
        age: now.since(directory.read_at),
        keep_missing: directory.outage.map_or(Duration::ZERO, |o| o.registered_until().since(now)),
        rows: directory.rows.to_vec(),
    }))
}

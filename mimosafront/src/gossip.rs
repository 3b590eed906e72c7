//! Sends digests to other routers and takes theirs in.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mimosaplatform::config;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Member, Observation};
use mimosashift::peer::{Config, Digest, Directory};
use mimosashift::time::Instant;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

use crate::front::Front;
use crate::{clock, probe};

/// Time between two looks at which peers are due.
const TICK: Duration = Duration::from_millis(50);

/// Largest datagram that is read.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Time to fetch a configuration from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Least time between two fetches.
const FETCH_PAUSE: Duration = Duration::from_millis(300);

/// Largest configuration that is fetched; the store's rows are far smaller.
const MAX_CONFIG_BYTES: u64 = 16 * 1024 * 1024;

/// Age of what was last read from the store from which a peer's configuration
/// is worth fetching.
const STORE_STALE: Duration = Duration::from_millis(1_200);

/// Time for which a change of an endpoint is told to peers.
const OBSERVED_LIFE: Duration = Duration::from_secs(3);

/// Exchanges digests for as long as the router runs.
pub async fn exchange(front: Rc<Front>, socket: UdpSocket) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut tick = tokio::time::interval(TICK);
    let mut fetched = Instant::ZERO;
    loop {
        tokio::select! {
            _ = tick.tick() => send(&front, &socket).await,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => hear(&front, &buffer[..length], from, &mut fetched),
                Err(error) => {
                    // An answer of ICMP to an earlier datagram, for example.
                    emit!(front.log, Event::MemberUnreachable, "error" => error.to_string());
                }
            }
        }
    }
}

async fn send(front: &Rc<Front>, socket: &UdpSocket) {
    let now = clock::now();
    let due = front.peers.borrow_mut().due(now);
    if due.is_empty() {
        return;
    }
    let mut digest = digest(front, now);
    digest.limit();
    for (to, echo) in due {
        digest.echo = echo;
        digest.stamp = clock::now();
        digest.sequence = front.peers.borrow_mut().number();
        let bytes = postcard::to_stdvec(&digest).expect("a digest always encodes");
        front.peers.borrow_mut().sent(bytes.len());
        // A datagram that is not sent is one that is lost: the next one
        // follows soon.
        if socket.send_to(&bytes, to).await.is_ok() {
            front.meter.heartbeats_sent(1);
        }
    }
}

fn digest(front: &Front, now: Instant) -> Digest {
    front.observed.borrow_mut().retain(|(at, _)| now.since(*at) < OBSERVED_LIFE);
    let config = front.deployment().map(|deployment| Config {
        revision: deployment.revision,
        age: front.currency.get().age(now),
    });
    Digest {
        node: front.node().name.clone(),
        zone: front.node().zone.clone(),
        incarnation: front.incarnation,
        sequence: 0,
        stamp: now,
        echo: None,
        leaving: front.stopping.get(),
        leads: front.leads.get(),
        config,
        store_age: front.store_reached.get().map(|at| now.since(at)),
        store_lost: front.store_lost.get(),
        directory: front.directory_read.get().map(|read| Directory {
            fingerprint: front.fleet.borrow().fingerprint(),
            age: now.since(read),
        }),
        usage: front.fleet.borrow().digest(),
        observed: front
            .observed
            .borrow()
            .iter()
            .map(|(at, observed)| Observation { age: now.since(*at), ..*observed })
            .collect(),
        dead: front.fleet.borrow().dead().map(Member::key).collect(),
        peers: front.peers.borrow().share(now),
    }
}

fn hear(front: &Rc<Front>, bytes: &[u8], from: SocketAddr, fetched: &mut Instant) {
    let now = clock::now();
    let Ok(digest) = postcard::from_bytes::<Digest>(bytes) else {
        emit!(front.log, Event::MemberUnreadable, "from" => from.to_string());
        return;
    };
    front.meter.heartbeats_received(1);
    let event = front.peers.borrow_mut().hear(from, digest.clone(), now);
    match event {
        mimosashift::peer::Event::Outdated => return,
        mimosashift::peer::Event::Joined => {
            emit!(front.log, Event::MemberJoined, "node" => &*digest.node, "address" => from.to_string(), "incarnation" => digest.incarnation);
        }
        mimosashift::peer::Event::Renewed => {}
    }
    front.fleet.borrow_mut().merge_digest(&digest.node, &digest.usage, now);
    front.released.notify_one();
    for seen in &digest.observed {
        let changed = front.fleet.borrow_mut().apply_observation(seen, now);
        if let Some(id) = changed {
            front.log_observed(&id, seen, &digest.node);
        }
    }
    verify(front, &digest);
    take_config(front, &digest, from, now, fetched);
}

/// Asks the endpoints that a peer found dead, if this router uses them or
/// places their layers.
fn verify(front: &Rc<Front>, digest: &Digest) {
    if !front.leads.get() && digest.zone != front.node().zone {
        return;
    }
    let hops = front.fleet.borrow().hops_by_key(&digest.dead);
    for hop in hops {
        let front = front.clone();
        // What it finds is noted with the endpoint.
        tokio::task::spawn_local(async move { drop(probe::examine(&front, &hop).await) });
    }
}

/// Takes in what a peer knows of the configuration.
fn take_config(
    front: &Rc<Front>,
    digest: &Digest,
    from: SocketAddr,
    now: Instant,
    fetched: &mut Instant,
) {
    if let Some(relayed) = digest.relayed() {
        let mut currency = front.currency.get();
        if currency.confirm_from_peer(&relayed, front.revision()) {
            front.currency.set(currency);
            front.confirmed.notify_waiters();
        }
    }
    let newer = digest.config.is_some_and(|config| config.revision > front.revision());
    let stale = front.store_reached.get().is_none_or(|at| now.since(at) > STORE_STALE);
    if newer && stale && now >= *fetched + FETCH_PAUSE {
        *fetched = now;
        tokio::task::spawn_local(fetch(front.clone(), from));
    }
}

async fn fetch(front: Rc<Front>, from: SocketAddr) {
    let fetched = tokio::time::timeout(FETCH_TIMEOUT, read_config(from)).await;
    let text = match fetched {
        Ok(Ok(text)) => text,
        Ok(Err(error)) => {
            emit!(front.log, Event::MemberUnreachable, "peer" => from.to_string(), "error" => error.to_string());
            return;
        }
        Err(_) => {
            emit!(front.log, Event::MemberUnreachable, "peer" => from.to_string(), "error" => "timed out");
            return;
        }
    };
    match config::decode(&text) {
        Ok(deployment) => {
            emit!(front.log, Event::ConfigFetched, "peer" => from.to_string(), "revision" => deployment.revision);
            front.install(deployment, &text, "peer");
        }
        Err(error) => {
            emit!(front.log, Event::ConfigUnreadable, "peer" => from.to_string(), "error" => error.to_string());
        }
    }
}

async fn read_config(from: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect(from).await?;
    let length = stream.read_u64().await?;
    if length > MAX_CONFIG_BYTES {
        return Err(io::Error::other(format!("configuration of {length} bytes")));
    }
    let mut text = String::new();
    stream.take(length).read_to_string(&mut text).await?;
    if text.len() as u64 == length { Ok(text) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
}

/// Hands the configuration to peers that cannot reach the store.
pub async fn serve_config(front: Rc<Front>, listener: TcpListener) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            tokio::time::sleep(TICK).await;
            continue;
        };
        let installed = front.deployment.borrow().clone();
        tokio::task::spawn_local(async move {
            let Some(installed) = installed else { return };
            let sent = async {
                stream.write_u64(installed.text.len() as u64).await?;
                stream.write_all(installed.text.as_bytes()).await?;
                stream.shutdown().await
            };
            // The peer sees a failure as a short answer and asks again.
            drop(tokio::time::timeout(FETCH_TIMEOUT, sent).await);
        });
    }
}

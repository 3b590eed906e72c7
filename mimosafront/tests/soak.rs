//! A randomized soak: routers as processes, faults from outside that overlap,
//! and promises that are checked by what clients and endpoints saw.
//!
//! `SOAK_SEEDS=1..50` and `SOAK_SECONDS=20` choose the seeds and the length.

mod world;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use world::client::{Ask, Connection, Told};
use world::endpoints::Health;
use world::proxy::Link;
use world::router::REVOCATION;
use world::store::Mode;
use world::{KEY, OTHER_KEY, Plan, TEAM, World};

/// Seeds that failed once, with the cause.
const REGRESSIONS: [(u64, &str); 0] = [];

/// Seeds that are run when none are named.
const SEEDS: std::ops::Range<u64> = 1..3;

/// Length of the faults when none is named.
const SECONDS: u64 = 8;

/// Clients that send at the same time.
const CLIENTS: usize = 8;

/// One request and what the client was told.
struct Sent {
    ask: Ask,
    at: Instant,
    told: Option<Told>,
}

type History = Arc<Mutex<Vec<Sent>>>;

#[test]
fn promises_hold_while_things_break() {
    let named = std::env::var("SOAK_SEEDS").ok();
    let seeds = named.as_deref().map_or(SEEDS, |text| {
        let (from, to) = text.split_once("..").expect("SOAK_SEEDS is FROM..TO");
        from.parse().unwrap()..to.parse().unwrap()
    });
    let seconds = std::env::var("SOAK_SECONDS").map_or(SECONDS, |text| text.parse().unwrap());
    for seed in REGRESSIONS.iter().map(|(seed, _)| *seed).chain(seeds) {
        let faults = soak(seed, Duration::from_secs(seconds));
        assert!(faults.is_empty(), "seed {seed}: {faults:#?}");
    }
}

fn soak(seed: u64, length: Duration) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let plan = Plan { routers: 3, ..Plan::default() };
    let mut world = World::start(plan);
    let history = History::default();
    let stop = Arc::new(Mutex::new(false));
    let routers: Vec<_> = world.routers.iter().map(|router| router.clients).collect();
    for client in 0..CLIENTS {
        let (history, stop, routers) = (history.clone(), stop.clone(), routers.clone());
        let rng = StdRng::seed_from_u64(seed * 1_000 + client as u64);
        world.runtime.spawn(keep_asking(history, stop, routers, rng));
    }
    let end = Instant::now() + length;
    let mut revoked = None;
    let mut pending: Vec<(Instant, Undo)> = Vec::new();
    while Instant::now() < end {
        let (undo, time) = disturb(&mut world, &mut rng, &mut revoked);
        pending.push((Instant::now() + time, undo));
        let pause = Duration::from_millis(rng.random_range(100..900));
        std::thread::sleep(pause);
        pending = settle(&mut world, pending, Instant::now());
    }
    std::thread::sleep(Duration::from_millis(500));
    settle(&mut world, pending, Instant::now() + Duration::from_secs(3_600));
    let mut faults = recovery(&mut world);
    *stop.lock().unwrap() = true;
    std::thread::sleep(Duration::from_secs(7));
    faults.extend(world.endpoints.violations.lock().unwrap().drain(..));
    faults.extend(check(&world, &history.lock().unwrap(), revoked));
    println!("seed {seed}: {} requests, {} faults", history.lock().unwrap().len(), faults.len());
    faults
}

async fn keep_asking(
    history: History,
    stop: Arc<Mutex<bool>>,
    routers: Vec<std::net::SocketAddr>,
    mut rng: StdRng,
) {
    let mut kept: Option<Connection> = None;
    while !*stop.lock().unwrap() {
        let mut ask = match rng.random_range(0..3) {
            0 => Ask::draft(rng.random_range(1..40)),
            1 => Ask::post(),
            _ => Ask::read(),
        };
        ask.key = [KEY, OTHER_KEY].choose(&mut rng).unwrap().to_string();
        let at = Instant::now();
        let told = match kept.take() {
            Some(mut connection) => {
                let told = connection.send(&ask).await;
                kept = told.is_some().then_some(connection);
                told
            }
            None => {
                let to = *routers.choose(&mut rng).unwrap();
                let connecting = tokio::time::timeout(
                    Duration::from_secs(1),
                    tokio::net::TcpStream::connect(to),
                );
                match connecting.await {
                    Ok(Ok(stream)) => {
                        kept = Connection::new(stream).await;
                        match &mut kept {
                            Some(connection) => connection.send(&ask).await,
                            None => None,
                        }
                    }
                    _ => None,
                }
            }
        };
        history.lock().unwrap().push(Sent { ask, at, told });
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// How a fault ends.
enum Undo {
    Nothing,
    Restart(usize),
    Continue(usize),
    Link(usize),
    Store,
    Endpoint(String),
}

/// Breaks something at random; returns how and when it is mended.
fn disturb(world: &mut World, rng: &mut StdRng, revoked: &mut Option<Instant>) -> (Undo, Duration) {
    let time = Duration::from_millis(rng.random_range(200..3_500));
    let router = rng.random_range(0..world.routers.len());
    let links = [
        Link::Delayed(Duration::from_millis(150)),
        Link::Reset,
        Link::CutForth,
        Link::CutBack,
        Link::Silent,
    ];
    let link = *links.choose(rng).unwrap();
    let member = world.endpoints.members.choose(rng).unwrap().clone();
    let undo = match rng.random_range(0..10) {
        0 if world.routers[router].is_running() => {
            world.routers[router].stop(Signal::SIGKILL);
            Undo::Restart(router)
        }
        1 => {
            world.routers[router].signal(Signal::SIGTERM);
            Undo::Restart(router)
        }
        2 => {
            world.routers[router].signal(Signal::SIGSTOP);
            Undo::Continue(router)
        }
        3 | 4 => {
            world.links[router].set(link);
            Undo::Link(router)
        }
        5 => {
            let modes = [
                Mode::Busy,
                Mode::LosesAnswers,
                Mode::Forgetful,
                Mode::Slow(Duration::from_millis(300)),
            ];
            world.store.set(*modes.choose(rng).unwrap());
            Undo::Store
        }
        6 => {
            member.proxy.retire();
            Undo::Nothing
        }
        7 => {
            member.proxy.set(link);
            Undo::Endpoint(member.id.clone())
        }
        8 => {
            let healths = [Health::Dark, Health::Failing, Health::LosesAnswers];
            member.state().health = *healths.choose(rng).unwrap();
            Undo::Endpoint(member.id.clone())
        }
        _ => {
            if revoked.is_none() {
                world.configure(&[(TEAM, &[KEY])]);
                *revoked = Some(Instant::now());
            } else {
                world.configure(&[(TEAM, &[KEY])]);
            }
            Undo::Nothing
        }
    };
    (undo, time)
}

/// Mends what is due and returns the rest.
fn settle(world: &mut World, pending: Vec<(Instant, Undo)>, now: Instant) -> Vec<(Instant, Undo)> {
    let (due, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(at, _)| *at <= now);
    for (_, undo) in due {
        match undo {
            Undo::Nothing => {}
            Undo::Restart(router) => {
                let router = &mut world.routers[router];
                // It may have been stopped or killed in the meantime.
                if router.is_running() {
                    router.signal(Signal::SIGCONT);
                    router.stop(Signal::SIGTERM);
                }
                router.restart();
            }
            Undo::Continue(router) => world.routers[router].signal(Signal::SIGCONT),
            Undo::Link(router) => world.links[router].set(Link::Up),
            Undo::Store => world.store.set(Mode::Up),
            Undo::Endpoint(id) => {
                let member = world.endpoints.get(&id);
                member.proxy.set(Link::Up);
                let health = member.state().health;
                match health {
                    Health::Dark => member.restart(),
                    _ => member.state().health = Health::Well,
                }
            }
        }
    }
    rest
}

/// Whether every router serves every kind again.
fn recovery(world: &mut World) -> Vec<String> {
    let end = Instant::now() + world::PATIENCE;
    let mut faults = Vec::new();
    for router in 0..world.routers.len() {
        for make in [|| Ask::draft(5), Ask::post, Ask::read] {
            let mut served = false;
            while !served && Instant::now() < end {
                let told = world.runtime.block_on(make().send(world.routers[router].clients));
                served = told.is_some_and(|told| told.status == 200 && told.whole);
                std::thread::sleep(Duration::from_millis(50));
            }
            if !served {
                faults.push(format!("{} does not serve again", world.routers[router].name));
            }
        }
    }
    faults
}

/// What clients were told, held against what endpoints saw.
fn check(world: &World, history: &[Sent], revoked: Option<Instant>) -> Vec<String> {
    let mut faults = Vec::new();
    for Sent { ask, at, told } in history {
        let seen = world.endpoints.seen(&ask.id);
        let mut fault = |what: String| faults.push(format!("{} {}: {what}", ask.id, ask.path));
        if ask.path.starts_with("/post/") && seen.runs > 1 {
            fault(format!("ran {} times", seen.runs));
        }
        if seen.key_leaked {
            fault("an endpoint got the key".to_owned());
        }
        let late = |revoked: Instant| at.saturating_duration_since(revoked) > REVOCATION;
        if ask.key == OTHER_KEY && seen.runs > 0 && revoked.is_some_and(late) {
            fault("ran with a key that was taken away".to_owned());
        }
        let Some(told) = told else { continue };
        if let Some(wrong) = told.fault(ask) {
            fault(wrong);
        }
        if [408, 421, 429, 503].contains(&told.status) && seen.runs > 0 {
            fault(format!("told {}, ran {} times", told.status, seen.runs));
        }
        if told.status == 404 || told.status == 401 && ask.key == KEY {
            fault(format!("told {}", told.status));
        }
    }
    faults
}

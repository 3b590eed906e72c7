//! The whole path: routers as processes between clients and stand-ins.

mod world;

use std::time::{Duration, Instant};

use hyper::Method;
use nix::sys::signal::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use world::client::{Ask, Connection, Told};
use world::endpoints::Health;
use world::proxy::Link;
use world::router::REVOCATION;
use world::store::Mode;
use world::{HOST, KEY, OTHER_KEY, PATIENCE, Plan, TEAM, World};

fn send(world: &World, router: usize, ask: &Ask) -> Option<Told> {
    world.runtime.block_on(ask.send(world.routers[router].clients))
}

/// Sends until an answer is a success.
fn served(world: &World, router: usize, ask: impl Fn() -> Ask) -> Told {
    let end = Instant::now() + PATIENCE;
    loop {
        let ask = ask();
        let told = send(world, router, &ask);
        if let Some(told) = told.filter(|told| told.status == 200 && told.whole) {
            assert_eq!(told.fault(&ask), None);
            return told;
        }
        assert!(Instant::now() < end, "not served");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn no_violations(world: &World) {
    assert_eq!(*world.endpoints.violations.lock().unwrap(), Vec::<String>::new());
}

#[test]
fn every_kind_is_served_whole_by_every_router() {
    let world = World::start(Plan::default());
    for router in 0..2 {
        for ask in [Ask::draft(12), Ask::post(), Ask::read()] {
            let told = send(&world, router, &ask).unwrap();
            assert_eq!((told.status, told.whole, told.fault(&ask)), (200, true, None));
            let seen = world.endpoints.seen(&ask.id);
            assert_eq!((seen.runs, seen.team.as_deref()), (1, Some(TEAM)));
            assert!(!seen.key_leaked);
        }
    }
    let read = Ask::read();
    send(&world, 0, &read).unwrap();
    assert_eq!(world.endpoints.seen(&read.id).call, "GET /read/x?a=1 ");
    no_violations(&world);
}

#[test]
fn what_is_not_allowed_is_denied_and_does_not_run() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    let key = Ask { key: "unknown".into(), ..Ask::post() };
    let route = Ask::new(Method::GET, "/nowhere/x");
    let large = Ask { body: vec![b'x'; 70_000], ..Ask::post() };
    for (ask, status) in [(key, 401), (route, 404), (large, 413)] {
        assert_eq!(send(&world, 0, &ask).unwrap().status, status);
        assert_eq!(world.endpoints.seen(&ask.id).runs, 0);
    }
}

/// What the router answers to raw bytes, until it closes or is silent.
fn raw(world: &World, bytes: &str) -> String {
    world.runtime.block_on(async {
        let mut stream = TcpStream::connect(world.routers[0].clients).await.unwrap();
        stream.write_all(bytes.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let reading = stream.read_to_end(&mut answer);
        drop(tokio::time::timeout(Duration::from_millis(800), reading).await);
        String::from_utf8_lossy(&answer).into_owned()
    })
}

#[test]
fn hidden_request_behind_two_framings_does_not_run() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    let head = |id: &str, framing: &str| {
        format!(
            "POST /post/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
            Request-Deadline: 3000\r\nAuthorization: Bearer {KEY}\r\n{framing}\r\n"
        )
    };
    let hidden = head("hidden", "Content-Length: 0\r\n");
    for framing in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", hidden.len() + 5),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n", hidden.len() + 5),
    ] {
        raw(&world, &format!("{}0\r\n\r\n{hidden}", head("outer", &framing)));
        assert_eq!(world.endpoints.seen("hidden").runs, 0, "{framing}");
    }
}

#[test]
fn declared_length_over_the_limit_is_refused_without_the_body() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    let answer = raw(
        &world,
        &format!(
            "POST /post/x HTTP/1.1\r\nHost: {HOST}\r\n\
        Request-Id: long\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 99999999\r\n\r\nx"
        ),
    );
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[test]
fn posting_whose_answer_is_lost_is_not_sent_again() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    for member in world.endpoints.members.iter().filter(|m| m.service == "register") {
        member.state().health = Health::LosesAnswers;
    }
    let ask = Ask::post();
    let told = send(&world, 0, &ask).unwrap();
    assert_eq!((told.status, world.endpoints.seen(&ask.id).runs), (502, 1));
}

#[test]
fn reading_that_fails_is_sent_elsewhere() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    world.endpoints.get("register-0").state().health = Health::Failing;
    for _ in 0..5 {
        let ask = Ask::read();
        // The first retries are earned by requests.
        served(&world, 0, Ask::post);
        let told = send(&world, 0, &ask).unwrap();
        assert_eq!(told.fault(&ask), None);
    }
    let ask = Ask::read();
    assert_eq!(send(&world, 0, &ask).unwrap().status, 200);
}

/// Sends drafts for as long as `during` runs and returns how they ended.
fn drafts_during(world: &World, events: u64, during: impl FnOnce()) -> Vec<(Ask, Option<Told>)> {
    let asks: Vec<_> = (0..12).map(|_| Ask::draft(events)).collect();
    let sending: Vec<_> = asks
        .into_iter()
        .map(|ask| {
            let to = world.routers[0].clients;
            world.runtime.spawn(async move {
                let told = ask.send(to).await;
                (ask, told)
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    during();
    sending.into_iter().map(|sent| world.runtime.block_on(sent).unwrap()).collect()
}

/// Engines that run a part of a chain other than the first.
fn used(world: &World, first: bool) -> Vec<String> {
    let running = world.endpoints.running.lock().unwrap();
    let parts = running.values().flat_map(|parts| {
        let (head, tail) = parts.split_at(1);
        if first { head.to_vec() } else { tail.to_vec() }
    });
    let mut ids: Vec<_> =
        parts.map(|(address, ..)| world.endpoints.at(address).unwrap().id.clone()).collect();
    ids.sort();
    ids.dedup();
    ids
}

#[test]
fn streams_go_on_without_a_part_that_falls_silent() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    // Retries are earned by requests.
    (0..40).for_each(|_| drop(served(&world, 0, Ask::post)));
    for first in [false, true] {
        let mut lost = String::new();
        let ended = drafts_during(&world, 60, || {
            lost = used(&world, first)[0].clone();
            world.endpoints.get(&lost).state().health = Health::Dark;
        });
        let whole = ended.iter().filter(|(ask, told)| {
            let told = told.as_ref().unwrap();
            assert_eq!(told.fault(ask), None);
            told.status == 200 && told.whole
        });
        assert!(whole.count() >= 10, "first {first}: {ended:?}");
        world.endpoints.get(&lost).restart();
        world.wait_until("layers are placed again", |world| world.endpoints.is_placed(2));
        world.endpoints.running.lock().unwrap().clear();
    }
    no_violations(&world);
}

#[test]
fn stream_that_only_pauses_is_not_cut_when_nothing_can_replace_it() {
    let world = World::start(Plan { routers: 1, zones: 1, ..Plan::default() });
    served(&world, 0, Ask::post);
    for engine in world.endpoints.engines() {
        engine.state().health = Health::Stuck;
    }
    for (ask, told) in drafts_during(&world, 40, || {}) {
        let told = told.unwrap();
        assert_eq!((told.status, told.whole, told.fault(&ask)), (200, true, None));
    }
    no_violations(&world);
}

#[test]
fn layers_of_a_silent_endpoint_are_placed_though_its_entry_stays() {
    // Ten engines of one layer each, eight of which are needed.
    let plan = Plan { routers: 2, zones: 1, engines_per_zone: 10, card_mb: 280, ..Plan::default() };
    let world = World::start(plan);
    let mut lost = String::new();
    drafts_during(&world, 60, || {
        let used = used(&world, false);
        let alone = |id: &&String| {
            let (from, to) = world.endpoints.get(id).state().layers.unwrap();
            world.endpoints.engines().filter(|e| e.holds(from, to)).count() == 1
        };
        lost = used.iter().find(alone).unwrap().clone();
        world.endpoints.get(&lost).state().health = Health::Dark;
    });
    world.wait_until("its layers are placed", |world| {
        drop(send(world, 0, &Ask::draft(2)));
        let (from, to) = world.endpoints.get(&lost).state().layers.unwrap();
        let holds = |layer| world.endpoints.engines().any(|e| e.holds(layer, layer + 1));
        (from..to).all(holds)
    });
    served(&world, 1, || Ask::draft(4));
    no_violations(&world);
}

#[test]
fn endpoint_that_closes_its_connections_is_asked_at_once() {
    let world = World::start(Plan { routers: 1, zones: 1, ..Plan::default() });
    served(&world, 0, || Ask::draft(2));
    let first = used(&world, true)[0].clone();
    world.endpoints.get(&first).proxy.set(Link::Reset);
    let found = |line: &&str| {
        line.contains("MS0515") && line.contains("\"dead\":true") && line.contains(&first)
    };
    world.wait_until("the endpoint is known to be dead", |world| {
        world.routers[0].log().lines().any(|line| found(&line))
    });
}

#[test]
fn stream_that_broke_off_goes_on_at_another_endpoint() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    served(&world, 0, Ask::post);
    // The endpoint at which chains begin; the route allows one more.
    served(&world, 0, || Ask::draft(2));
    let first = used(&world, true).into_iter().find(|id| id.starts_with("engine-0")).unwrap();
    world.endpoints.get(&first).state().health = Health::LosesAnswers;
    for _ in 0..4 {
        let ask = Ask::draft(12);
        let told = send(&world, 0, &ask).unwrap();
        assert_eq!((told.status, told.whole, told.fault(&ask)), (200, true, None));
    }
    no_violations(&world);
}

#[test]
fn work_of_a_client_that_left_is_cancelled() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    let ask = Ask::draft(200);
    let sending = {
        let (ask, to) = (ask.clone(), world.routers[0].clients);
        world.runtime.spawn(async move { ask.send(to).await })
    };
    world.wait_until("the stream runs", |world| world.endpoints.seen(&ask.id).events > 3);
    sending.abort();
    std::thread::sleep(Duration::from_millis(500));
    let events = world.endpoints.seen(&ask.id).events;
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(world.endpoints.seen(&ask.id).events, events);
}

#[test]
fn router_that_is_told_to_stop_finishes_what_it_has() {
    let mut world = World::start(Plan { routers: 1, ..Plan::default() });
    let (asks, sending): (Vec<_>, Vec<_>) = (0..4)
        .map(|_| {
            let ask = Ask::draft(120);
            let (sent, to) = (ask.clone(), world.routers[0].clients);
            (ask, world.runtime.spawn(async move { sent.send(to).await }))
        })
        .unzip();
    world.wait_until("the streams run", |world| {
        asks.iter().all(|ask| world.endpoints.seen(&ask.id).events > 3)
    });
    world.routers[0].signal(Signal::SIGTERM);
    world.wait_until("it is not ready", |w| !w.runtime.block_on(w.routers[0].is_ready()));
    for (ask, sending) in asks.iter().zip(sending) {
        let told = world.runtime.block_on(sending).unwrap().unwrap();
        assert_eq!((told.status, told.whole, told.fault(ask)), (200, true, None));
    }
    assert_eq!(world.routers[0].stop(Signal::SIGCONT), Some(0));
}

#[test]
fn leaving_endpoint_gets_no_new_work() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    let leaving = world.endpoints.get("register-0");
    leaving.state().draining = true;
    std::thread::sleep(Duration::from_secs(2));
    for _ in 0..10 {
        let ask = Ask::post();
        assert_eq!(send(&world, 0, &ask).unwrap().status, 200);
    }
    let log = world.routers[0].log();
    assert!(log.contains("endpoint leaving"));
    let last = log.rfind("register-0\",\"attempt").unwrap_or(0);
    assert!(last < log.find("endpoint leaving").unwrap(), "{}", &log[last..]);
}

#[test]
fn revoked_key_is_not_used_while_the_store_cannot_be_reached() {
    let mut world = World::start(Plan { routers: 1, ..Plan::default() });
    world.links[0].set(Link::Silent);
    world.configure(&[("liaison", &[OTHER_KEY])]);
    let revoked = Instant::now();
    let mut last = None;
    while revoked.elapsed() < REVOCATION + Duration::from_secs(2) {
        let ask = Ask::post();
        let sent = Instant::now();
        send(&world, 0, &ask);
        if world.endpoints.seen(&ask.id).runs > 0 {
            last = Some(sent);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(last.is_none_or(|last| last.duration_since(revoked) < REVOCATION));
    // Once the store is back, the key is unknown and the other one works.
    world.links[0].set(Link::Up);
    world.wait_until("it is denied", |world| {
        send(world, 0, &Ask::post()).is_some_and(|told| told.status == 401)
    });
    served(&world, 0, || Ask { key: OTHER_KEY.into(), ..Ask::post() });
}

#[test]
fn router_without_the_store_is_kept_current_by_its_peer() {
    let mut world = World::start(Plan::default());
    served(&world, 1, Ask::post);
    world.links[1].set(Link::Silent);
    world.configure(&[(TEAM, &[OTHER_KEY])]);
    // The key is taken away at the second router as well, and the new one
    // works there for longer than it could without a confirmation.
    let cut = Instant::now();
    while cut.elapsed() < REVOCATION + Duration::from_secs(2) {
        std::thread::sleep(Duration::from_millis(200));
    }
    let told = send(&world, 1, &Ask { key: OTHER_KEY.into(), ..Ask::post() }).unwrap();
    assert_eq!(told.status, 200, "{told:?}");
    assert_eq!(send(&world, 1, &Ask::post()).unwrap().status, 401);
    assert!(world.routers[1].log().contains("configuration fetched from a peer"));
}

#[test]
fn configuration_takes_hold_though_the_store_forgets_its_history() {
    let mut world = World::start(Plan { routers: 1, ..Plan::default() });
    world.store.set(Mode::Forgetful);
    world.configure(&[("liaison", &[OTHER_KEY])]);
    world.wait_until("the key is unknown", |world| {
        send(world, 0, &Ask::post()).is_some_and(|told| told.status == 401)
    });
}

#[test]
fn lease_is_taken_though_answers_of_the_store_are_lost() {
    let mut world = World::prepare(Plan { routers: 1, ..Plan::default() });
    world.store.set(Mode::LosesAnswers);
    world.start_router(0, 0);
    world.wait_until("the lease is written", |world| {
        world.store.get("lease", "placement").is_some()
    });
    world.store.set(Mode::Up);
    world.wait_until("layers are placed", |world| world.endpoints.is_placed(2));
}

#[test]
fn restarted_routers_leave_the_layers_where_they_are() {
    let mut world = World::start(Plan::default());
    std::thread::sleep(Duration::from_secs(1));
    let orders = |world: &World| -> Vec<u64> {
        world.endpoints.engines().map(|engine| engine.state().orders).collect()
    };
    let before = orders(&world);
    for router in &mut world.routers {
        router.stop(Signal::SIGKILL);
    }
    for router in &mut world.routers {
        router.restart();
    }
    served(&world, 0, || Ask::draft(5));
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(orders(&world), before);
}

#[test]
fn log_that_nobody_reads_holds_up_no_request() {
    let mut world = World::start(Plan { routers: 1, ..Plan::default() });
    world.routers[0].restart_unread();
    served(&world, 0, Ask::post);
    // Far more lines than a pipe and the queue of the log hold.
    let (to, tasks, each) = (world.routers[0].clients, 20, 200);
    let answered = world.runtime.block_on(async {
        let mut sending = Vec::new();
        for _ in 0..tasks {
            sending.push(tokio::spawn(async move {
                let stream = TcpStream::connect(to).await.unwrap();
                let mut connection = Connection::new(stream).await.unwrap();
                let mut answered = 0;
                for _ in 0..each {
                    let ask = Ask::new(Method::GET, "/nowhere/x");
                    answered += usize::from(connection.send(&ask).await.is_some());
                }
                answered
            }));
        }
        let mut total = 0;
        for sent in sending {
            total += sent.await.unwrap();
        }
        total
    });
    assert_eq!(answered, tasks * each);
    served(&world, 0, Ask::post);
}

#[test]
fn wrong_settings_are_reported_and_the_earlier_ones_stay() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    let settings = world.routers[0].folder().join("settings.conf");
    let text = std::fs::read_to_string(&settings).unwrap();
    std::fs::write(&settings, text.replace("bounds.grace_s=6", "bounds.grace_s=soon")).unwrap();
    world.wait_until("it is reported", |world| {
        world.routers[0].log().contains("bounds.grace_s is \\\"soon\\\"")
    });
    std::fs::write(&settings, text.replace("bounds.grace_s=6", "bounds.grace_s=7")).unwrap();
    world.routers[0].signal(Signal::SIGHUP);
    world
        .wait_until("it is reloaded", |world| world.routers[0].log().contains("settings reloaded"));
    served(&world, 0, Ask::post);
}

#[test]
fn metrics_count_what_was_served() {
    let world = World::start(Plan { routers: 1, ..Plan::default() });
    served(&world, 0, || Ask::draft(8));
    let text = world.runtime.block_on(world.routers[0].metrics());
    assert!(text.contains("mimosashift_requests_total{outcome=\"completed\"}"), "{text}");
    assert!(text.contains("mimosashift_first_token_seconds_bucket"), "{text}");
}

//! A replica crashes within its answers and starts again, while the router stands still.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::replica::whole_body;
use crate::store::Store;
use crate::world::{self, Places, Record, Router, SIGCONT, SIGKILL, SIGSTOP};

/// Time for which the router stands still: `node_freeze` is named with `for_s` 4.0.
const FREEZE: Duration = Duration::from_millis(3_000);

/// Time for which the replica is down: `srv_crash` is named with up to 4.8 s.
const DOWN: Duration = Duration::from_millis(1_000);

const BEAT: Duration = Duration::from_millis(1_200);

/// A replica and the request of which it has sent half of the answer.
type Half = (String, String);

struct Replica {
    id: String,
    address: SocketAddr,
    child: Mutex<Option<Child>>,
    born: Mutex<Option<u64>>,
}

impl Replica {
    /// Starts the process, under the id that it had before.
    fn start(self: &Arc<Self>, record: &Arc<Record>, said: std::sync::mpsc::Sender<Half>) {
        let program = std::env::current_exe().expect("the program knows its path");
        let mut child = Command::new(program)
            .args(["replica", &self.address.to_string(), &self.id])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| world::cannot_run(&error.to_string()));
        let output = child.stdout.take().expect("the output is a pipe");
        *self.child.lock().unwrap() = Some(child);
        let (replica, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.note(format!("replica {}: {line}", replica.id));
                match line.split_once(' ') {
                    Some(("born", at)) => *replica.born.lock().unwrap() = at.parse().ok(),
                    Some(("half", request)) => {
                        drop(said.send((replica.id.clone(), request.to_owned())));
                    }
                    Some(_) | None => {}
                }
            }
        });
    }

    fn kill(&self) {
        *self.born.lock().unwrap() = None;
        if let Some(mut child) = self.child.lock().unwrap().take() {
            world::signal(child.id(), SIGKILL);
            let _ = child.wait();
        }
    }
}

/// Writes the entry of a replica that lives, at each heartbeat.
fn beat(store: Arc<Store>, replica: Arc<Replica>, zone: String) {
    thread::spawn(move || {
        let mut last_born = 0;
        let mut sequence = 0;
        loop {
            let born = *replica.born.lock().unwrap();
            if let Some(born) = born {
                sequence = if born == last_born { sequence + 1 } else { 1 };
                last_born = born;
                let entry = json!({
                    "service": "counter-ops", "address": replica.address.to_string(),
                    "zone": zone, "version": "v1", "slots": 6, "state": "ready",
                    "cold_remaining_ms": 0, "sequence": sequence, "born": born,
                });
                store.put("servers", &replica.id, &entry);
            }
            let end = Instant::now() + BEAT;
            // A process that has just started registers at once.
            while Instant::now() < end {
                thread::sleep(Duration::from_millis(20));
                if replica.born.lock().unwrap().is_some_and(|born| born != last_born) {
                    break;
                }
            }
        }
    });
}

pub fn run() -> i32 {
    let record = Arc::new(Record::open());
    let places = Places::choose();
    let store = Store::start(places.at(250, 0));
    let routes = vec![
        world::route("stock-order", "unsafe", "counter-ops", 20_000, 1),
        world::route("stock-read", "safe", "counter-ops", 20_000, 2),
    ];
    store.put("op", "config", &world::config(3, routes, vec![world::plain_service("counter-ops")]));
    let (said, heard) = channel();
    let replicas: Vec<_> = (0..3u8)
        .map(|number| {
            let replica = Arc::new(Replica {
                id: format!("i-{number:08x}"),
                address: places.at(200 + number, 0),
                child: Mutex::default(),
                born: Mutex::default(),
            });
            replica.start(&record, said.clone());
            beat(
                store.clone(),
                replica.clone(),
                format!("almaty-{}", ["a", "b", "c"][usize::from(number)]),
            );
            replica
        })
        .collect();
    let router = Router::start(&places, 0, "almaty-a", store.address);
    router.wait_until_ready();
    thread::sleep(Duration::from_millis(1_500));

    let requests: Vec<_> = ["POST /stock-order/1", "GET /stock-read/1", "POST /stock-order/2"]
        .into_iter()
        .enumerate()
        .map(|(number, line)| {
            let (method, path) = line.split_once(' ').expect("a method and a path");
            (format!("{:016x}", 0x9c41_0000 + number), method, path)
        })
        .collect();
    let clients: Vec<_> = requests
        .iter()
        .map(|(id, method, path)| {
            let (id, method, path) = (id.clone(), method.to_string(), path.to_string());
            let (to, record) = (router.clients, record.clone());
            thread::spawn(move || {
                record.note(format!("client sends {id} {method} {path}"));
                let body: &[u8] = if method == "POST" { b"{\"cartons\":4}" } else { b"" };
                let got = world::send(to, &method, &path, &id, "", body, Duration::from_secs(12));
                record.note(format!(
                    "client got {id}: status {} signature {:?} complete {} error {:?} body of {} bytes: {}",
                    got.status, got.signature, got.is_complete, got.error, got.body.len(),
                    String::from_utf8_lossy(&got.body),
                ));
                (id, got)
            })
        })
        .collect();
    let halves = wait_for_halves(&heard, requests.len());
    if world::has_trouble() {
        record.note("the router stands still (SIGSTOP)");
        router.signal(SIGSTOP);
        let frozen = Instant::now();
        thread::sleep(Duration::from_millis(200));
        // The replica at which the first unsafe request is at work.
        let at = halves.iter().find(|(_, request)| *request == requests[0].0);
        let (at, _) = at.unwrap_or_else(|| world::cannot_run("the first request did not begin"));
        let victim = replicas.iter().find(|replica| replica.id == *at).expect("a replica said so");
        record.note(format!("replica {} crashes (SIGKILL)", victim.id));
        victim.kill();
        thread::sleep(DOWN);
        record.note(format!("replica {} starts again under its id", victim.id));
        victim.start(&record, said.clone());
        thread::sleep(FREEZE.saturating_sub(frozen.elapsed()));
        record.note("the router goes on (SIGCONT)");
        router.signal(SIGCONT);
    }
    let mut broken = 0;
    for client in clients {
        let (id, got) = client.join().expect("a client does not panic");
        let is_success = (200..300).contains(&got.status);
        let is_whole = got.body == whole_body(&id).into_bytes();
        if is_success && got.is_complete && !is_whole {
            broken += 1;
            record.note(format!(
                "MIXED: {id} is a success that looks complete with {} of {} bytes",
                got.body.len(),
                whole_body(&id).len()
            ));
        }
    }
    for replica in &replicas {
        replica.kill();
    }
    record.note(format!("{broken} answers broke the rule"));
    i32::from(broken > 0)
}

/// Waits until replicas have sent the first halves of so many answers; returns which.
fn wait_for_halves(heard: &Receiver<Half>, count: usize) -> Vec<Half> {
    let end = Instant::now() + Duration::from_secs(10);
    let mut halves = Vec::new();
    while halves.len() < count {
        match heard.recv_timeout(end.saturating_duration_since(Instant::now())) {
            Ok(half) => halves.push(half),
            Err(_) => world::cannot_run("the requests did not reach the replicas"),
        }
    }
    halves
}

//! Plays the cases of `review/` that are scripts: `stand-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use serde_json::{Value, json};

mod cut_chain;
mod endpoint;
mod engine;
mod http;
mod kept_entry;
mod proxy;
mod record;
mod restored_entry;
mod router;
mod short_answer;
mod store;

use endpoint::{Endpoint, HEARTBEAT};
use record::Record;
use router::{Ports, Router};
use store::Store;

/// What all cases have.
pub struct Stage {
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
    folder: PathBuf,
    ports: Ports,
    /// The first two numbers of the addresses of this run.
    net: (u8, u8),
}

/// What a case found.
pub struct Outcome {
    /// Breaches of the rule, one line each.
    pub breaches: Vec<String>,
}

impl Stage {
    fn new(record: &Arc<Record>) -> std::io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-stand-2-{id}"));
        std::fs::create_dir_all(&folder)?;
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let net = (40 + (id % 80) as u8, (id / 80 % 250) as u8);
        let ports = Ports(20_000 + (id % 1_000) as u16 * 8);
        Ok(Self { record: record.clone(), has_trouble, folder, ports, net })
    }

    /// An address of this run.
    pub fn ip(&self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, group * 32 + number)
    }

    pub fn start_store(&self) -> Result<Store, String> {
        Store::start(SocketAddr::from((self.ip(6, 1), 8_223))).map_err(|error| error.to_string())
    }

    /// Starts a router in each of these zones.
    pub fn start_routers(&self, zones: &[&str], store: &Store) -> Result<Vec<Router>, String> {
        self.start_routers_at(zones, &vec![store.address; zones.len()])
    }

    /// Starts a router in each of these zones, which calls the store at its own of these
    /// addresses.
    pub fn start_routers_at(
        &self,
        zones: &[&str],
        stores: &[SocketAddr],
    ) -> Result<Vec<Router>, String> {
        let addresses: Vec<_> = (0..zones.len()).map(|i| self.ip(0, 1 + i as u8)).collect();
        let start = |number: usize| {
            let (zone, address) = (zones[number], addresses[number]);
            let name = format!("front-{zone}-{}", number + 1);
            let (ports, store) = (self.ports, stores[number]);
            Router::start(&self.folder, &name, zone, address, ports, &addresses, store)
        };
        let routers: Result<Vec<_>, _> = (0..zones.len()).map(start).collect();
        routers.map_err(|error| format!("target/release/mimosafront: {error}"))
    }

    /// The address of a replica.
    pub fn endpoint_address(&self, number: u8) -> SocketAddr {
        (self.ip(3, number), 8_080).into()
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            drop(std::fs::remove_dir_all(&self.folder));
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

/// Key of the tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A configuration with one plain service and these routes to it.
pub fn config(service: &str, routes: &[Value]) -> Value {
    json!({
        "version": 7, "routes": routes,
        "services": [{"name": service, "health_path": "/health", "connection_limit": 110,
            "protocol": "h1", "tls": false}],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "keys": [KEY], "priority": 1}],
    })
}

/// Lets replicas write their entries until the flag is cleared.
pub fn keep_listed(endpoints: &[Arc<Endpoint>], store: &Store) -> Arc<AtomicBool> {
    let is_on = Arc::new(AtomicBool::new(true));
    let (endpoints, store, flag) = (endpoints.to_vec(), store.clone(), is_on.clone());
    thread::spawn(move || {
        while flag.load(Ordering::Relaxed) {
            endpoints.iter().for_each(|endpoint| endpoint.beat(&store));
            thread::sleep(HEARTBEAT);
        }
    });
    is_on
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|word| word == "endpoint") {
        return endpoint::run(&arguments[1..]).map_or(ExitCode::from(2), |()| ExitCode::SUCCESS);
    }
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: stand-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::new());
    let outcome = match Stage::new(&record) {
        Ok(stage) => match &**case {
            "short-answer" => short_answer::play(&stage),
            "cut-chain" => cut_chain::play(&stage),
            "kept-entry" => kept_entry::play(&stage),
            "restored-entry" => restored_entry::play(&stage),
            _ => Err(format!("no such case: {case}")),
        },
        Err(error) => Err(error.to_string()),
    };
    let (code, verdict) = match outcome {
        Err(reason) => (2, format!("could not run: {reason}")),
        Ok(outcome) if outcome.breaches.is_empty() => (0, "the rule held".to_owned()),
        Ok(outcome) => {
            outcome.breaches.iter().for_each(|breach| record.add(format!("BREACH {breach}")));
            (1, format!("the rule was broken {} times", outcome.breaches.len()))
        }
    };
    record.add(&*verdict);
    record.write(&Path::new(folder).join("record.txt"));
    println!("{verdict}");
    ExitCode::from(code)
}

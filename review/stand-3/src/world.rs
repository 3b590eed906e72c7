//! What all scenarios share: addresses, router processes, clients and the record.

use std::fs::{self, File};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::Reader;

pub const HOST: &str = "front.example";
pub const KEY: &str = "key-of-counters";
pub const TENANT: &str = "counters";

/// The record of what was sent, answered and run.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file =
            File::create(&path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Self { started: Instant::now(), file: Mutex::new(file) }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}\n", text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
        print!("{line}");
    }
}

/// Ends the scenario because it could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    exit(2);
}

/// Whether the disruption is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Loopback addresses and ports of one run.
pub struct Places {
    network: [u8; 2],
    first_port: u16,
    pub folder: PathBuf,
}

impl Places {
    /// Those of one part of the scenario; each part has a network of its own.
    pub fn choose(part: u8) -> Self {
        let id = std::process::id();
        let network = [100 + (id % 70) as u8 + 70 * part, (id / 100 % 250) as u8];
        let first_port = 21_000 + (id % 900) as u16 * 10;
        let folder = std::env::temp_dir().join(format!("review-3-{id}-{part}"));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Self { network, first_port, folder }
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], last)
    }

    /// An address with a port that is the same on all hosts.
    pub fn at(&self, last: u8, port: u16) -> SocketAddr {
        (self.ip(last), self.first_port + port).into()
    }
}

impl Drop for Places {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A router process.
pub struct Router {
    pub name: String,
    pub clients: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Offsets of the ports of a router.
const PORTS: std::ops::Range<u16> = 0..6;

impl Router {
    /// Writes the settings of a router and starts it.
    pub fn start(places: &Places, number: u8, zone: &str, store: SocketAddr) -> Self {
        let last = 10 + number;
        for port in PORTS {
            let address = places.at(last, port);
            if TcpListener::bind(address).is_err() || UdpSocket::bind(address).is_err() {
                cannot_run(&format!("{address} is in use"));
            }
        }
        let seeds: Vec<_> = (0..3).map(|n| places.at(10 + n, 2).to_string()).collect();
        let at = |port| places.at(last, port);
        let settings = format!(
            "node=front-{zone}-{number}\nrole=router\nmachine_class=front\nserves=front,control\n\
             ip_address={}\nzone={zone}\nregion=almaty\n\
             listen_addresses.front={}\nlisten_addresses.ready={}\nlisten_addresses.control={}\n\
             internal_ports={},{}\nseeds={}\nfirst_start=true\ncounted_in_tolerance=false\n\
             limits.cpu_share=0.5\nlimits.cores=1\nlimits.memory_mb=520\n\
             limits.file_descriptors=8400\nlimits.link_mbps=2000.0\nlimits.disk_mb=0\n\
             discovery=platform\nentry=virtual_ip\nheartbeat_interval_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers\n\
             tolerated_failures.machines=2\ntolerated_failures.zones=1\n\
             tolerated_failures.regions=0\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n\
             bounds.stability_window_ms=3000\nbounds.acknowledge_ms=4000\nbounds.catch_up_s=4\n\
             bounds.drain_ms=2000\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
             bounds.configuration_ms=2000\nbounds.rollback_slack_ms=250\n\
             bounds.outer_bound_ms=5000\nbounds.strict_revocation=true\n\
             bounds.revocation_ms=5000\nbounds.retry_budget_ratio=0.2\n\
             bounds.budget_window_s=10\nbounds.budget_extra_retries=196\nbounds.recovery_s=12\n\
             bounds.pass_ms=120\nbounds.retry_after_s=0\nbounds.stall_ms=2500\n\
             bounds.fencing_required=false\nplatform.address={store}\nplatform.form=table\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.transaction_ms=5.0\n\
             platform.part_writes_per_s=200\nplatform.row_bytes=65536\nplatform.across=false\n\
             platform.history_s=20\n",
            places.ip(last),
            at(0),
            at(1),
            at(2),
            at(4).port(),
            at(5).port(),
            seeds.join(","),
        );
        let path = places.folder.join(format!("router-{number}.conf"));
        fs::write(&path, settings).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let mut router = Self {
            name: format!("front-{zone}-{number}"),
            clients: at(0),
            ready: at(1),
            metrics: at(3),
            settings: path,
            log: places.folder.join(format!("router-{number}.log")),
            child: None,
        };
        router.spawn();
        router
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&mut self) {
        let program =
            std::env::var("ROUTER").unwrap_or_else(|_| "target/release/mimosafront".into());
        let log = File::options().create(true).append(true).open(&self.log).expect("a log opens");
        let child = Command::new(&program)
            .arg("--metrics")
            .arg(self.metrics.to_string())
            .env("MIMOSASHIFT_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log is shared"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => cannot_run(&format!("{program}: {error}")),
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it answers a readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let check = || -> std::io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(request.as_bytes())?;
            let head = Reader::new(stream).head()?;
            Ok(head.is_some_and(|head| head.status() == 200))
        };
        check().unwrap_or(false)
    }

    pub fn wait_until_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > end {
                cannot_run(&format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
        if let Ok(folder) = std::env::var("KEEP_LOGS") {
            let _ = fs::copy(&self.log, PathBuf::from(folder).join(format!("{}.log", self.name)));
        }
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub status: u16,
    pub signature: Option<String>,
    pub body: Vec<u8>,
    /// Whether the answer was complete by its framing.
    pub is_complete: bool,
    pub error: Option<String>,
}

/// Sends one request on a new channel and reads its answer.
pub fn send(
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    extra: &str,
    body: &[u8],
    wait: Duration,
) -> Got {
    let mut got = Got::default();
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nRequest-Deadline: {}\r\n\
         Authorization: Bearer {KEY}\r\n{extra}{length}\r\n",
        wait.as_millis(),
    );
    let exchange = || -> std::io::Result<Got> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(wait + Duration::from_secs(1)))?;
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
        let mut reader = Reader::new(stream.try_clone()?);
        let mut got = Got::default();
        let Some(mut answer) = reader.head()? else {
            got.error = Some("closed without an answer".to_owned());
            return Ok(got);
        };
        got.status = answer.status();
        got.signature = answer.header("response-signature").map(str::to_owned);
        let is_delimited = answer.header("content-length").is_some()
            || answer.header("transfer-encoding").is_some();
        match reader.body(&mut answer) {
            Ok(()) => got.is_complete = is_delimited,
            Err(error) => got.error = Some(error.to_string()),
        }
        got.body = answer.body;
        Ok(got)
    };
    match exchange() {
        Ok(answer) => answer,
        Err(error) => {
            got.error = Some(error.to_string());
            got
        }
    }
}

/// The operator's configuration.
pub fn config(version: u64, routes: Vec<Value>, services: Vec<Value>) -> Value {
    json!({
        "version": version, "routes": routes, "services": services,
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000},
        "tenants": [{"name": TENANT, "keys": [KEY], "priority": 1}],
    })
}

pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> Value {
    json!({
        "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 500, "priority": 1, "service": service,
        "attempts": attempts, "public": false, "sticky": false, "resumable": false,
    })
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).is_ok()
}

//! Replicas of a plain service, each a process of its own.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Interval in which a replica writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Bytes of an answer without a length.
const FILE_BYTES: usize = 4_000;

/// The answer to a request, which is the same at every replica.
pub fn file(id: &str) -> Vec<u8> {
    let lines = (0..).flat_map(|line| format!("{id} line {line}\n").into_bytes());
    lines.take(FILE_BYTES).collect()
}

/// The process of a replica: `ADDRESS ID WORK_MS PAUSE_MS`. It ends with its standard input and
/// prints what arrives and runs. A path that begins with `/file/` is answered without a length,
/// with a pause after half of the body.
pub fn run(arguments: &[String]) -> Option<()> {
    let address: SocketAddr = arguments.first()?.parse().ok()?;
    let id: Arc<str> = arguments.get(1)?.as_str().into();
    let work = Duration::from_millis(arguments.get(2)?.parse().ok()?);
    let pause = Duration::from_millis(arguments.get(3)?.parse().ok()?);
    let listener = TcpListener::bind(address).ok()?;
    println!("listens");
    let is_leaving: Arc<AtomicBool> = Arc::default();
    let leaving = is_leaving.clone();
    thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            leaving.fetch_or(line == "leave", Ordering::Relaxed);
        }
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let (id, is_leaving) = (id.clone(), is_leaving.clone());
        thread::spawn(move || drop(serve(stream, &id, work, pause, &is_leaving)));
    }
    Some(())
}

fn serve(
    stream: TcpStream,
    id: &str,
    work: Duration,
    pause: Duration,
    is_leaving: &AtomicBool,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read(&mut reader, false)? {
        let leaving = || is_leaving.load(Ordering::Relaxed);
        if request.target() == "/health" {
            let start = if leaving() { "HTTP/1.1 503 -" } else { "HTTP/1.1 200 OK" };
            writer.write_all(&http::encode(start, &[("instance-id", id)], b""))?;
            continue;
        }
        let request_id = request.header("request-id").unwrap_or_default().to_owned();
        if request.header("target-instance") != Some(id) {
            let headers = [("not-executed", "1"), ("request-id", &*request_id)];
            writer.write_all(&http::encode("HTTP/1.1 421 -", &headers, b""))?;
            continue;
        }
        println!("arrived {request_id}");
        thread::sleep(work);
        println!("ran {request_id}");
        let signature = format!("{id}.{request_id}");
        let mut headers = vec![("request-id", &*request_id), ("response-signature", &*signature)];
        if leaving() {
            headers.push(("server-leaving", "1"));
        }
        let body = file(&request_id);
        if request.target().starts_with("/file/") {
            let (first, rest) = body.split_at(FILE_BYTES / 2);
            writer.write_all(&http::head("HTTP/1.1 200 OK", &headers))?;
            writer.write_all(first)?;
            println!("half {request_id}");
            thread::sleep(pause);
            writer.write_all(rest)?;
            println!("whole {request_id}");
            return Ok(());
        }
        writer.write_all(&http::encode("HTTP/1.1 200 OK", &headers, &body))?;
    }
    Ok(())
}

/// A replica, as the case sees it.
pub struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
    /// The address in its entry, if that is another one.
    public_address: Mutex<Option<SocketAddr>>,
    service: &'static str,
    zone: &'static str,
    work_ms: u64,
    pause_ms: u64,
    process: Mutex<Option<(Child, ChildStdin)>>,
    /// Unix millisecond of its start.
    born: Mutex<u64>,
    heartbeats: Mutex<u64>,
    /// Whether its entry is in the store.
    is_listed: AtomicBool,
    /// Whether it does not reach the store.
    is_cut_off: AtomicBool,
    /// What its processes printed, with times.
    seen: Arc<Mutex<Vec<(u64, String)>>>,
    record: Arc<Record>,
}

impl Endpoint {
    pub fn new(
        id: &str,
        address: SocketAddr,
        (service, zone): (&'static str, &'static str),
        (work_ms, pause_ms): (u64, u64),
        record: &Arc<Record>,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            address,
            public_address: Mutex::default(),
            service,
            zone,
            work_ms,
            pause_ms,
            process: Mutex::default(),
            born: Mutex::default(),
            heartbeats: Mutex::default(),
            is_listed: AtomicBool::new(false),
            is_cut_off: AtomicBool::new(false),
            seen: Arc::default(),
            record: record.clone(),
        })
    }

    /// Names another address in its entry, which leads to its own.
    pub fn set_public_address(&self, address: SocketAddr) {
        *self.public_address.lock().unwrap() = Some(address);
    }

    /// Starts the process, under the id that it may have had before, and waits until it listens.
    pub fn start(&self) -> Result<(), String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut child = Command::new(program)
            .args(["endpoint", &self.address.to_string(), &self.id])
            .args([self.work_ms.to_string(), self.pause_ms.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let output = BufReader::new(child.stdout.take().expect("it is piped"));
        let input = child.stdin.take().expect("it is piped");
        let (seen, record, id) = (self.seen.clone(), self.record.clone(), self.id.clone());
        let known = self.lines("listens").len();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.add(format!("{id}: {line}"));
                seen.lock().unwrap().push((record.now(), line));
            }
        });
        *self.process.lock().unwrap() = Some((child, input));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        *self.born.lock().unwrap() = unix.as_millis() as u64;
        *self.heartbeats.lock().unwrap() = 0;
        let what = format!("{} listens", self.id);
        http::wait_for(&what, Duration::from_secs(5), || self.lines("listens").len() > known)
    }

    /// Ends the process at once; the system closes its channels.
    pub fn kill(&self) {
        if let Some((mut child, _)) = self.process.lock().unwrap().take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Makes it say in all its answers that it is leaving.
    pub fn leave(&self) {
        if let Some((_, input)) = &mut *self.process.lock().unwrap() {
            drop(input.write_all(b"leave\n"));
        }
    }

    /// Lists it in the store, or takes its entry out.
    pub fn set_listed(&self, store: &Store, is_listed: bool) {
        self.is_listed.store(is_listed, Ordering::Relaxed);
        match is_listed {
            true => self.beat(store),
            false => store.remove("servers", &self.id),
        }
    }

    /// Cuts it off from the store, or lets it reach the store again.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        self.is_cut_off.store(is_cut_off, Ordering::Relaxed);
    }

    /// Writes its entry, as it does at each heartbeat.
    pub fn beat(&self, store: &Store) {
        let is_cut_off = self.is_cut_off.load(Ordering::Relaxed);
        if self.is_listed.load(Ordering::Relaxed) && !is_cut_off && !store.is_away() {
            store.put("servers", &self.id, &self.entry());
        }
    }

    fn entry(&self) -> Value {
        let mut heartbeats = self.heartbeats.lock().unwrap();
        *heartbeats += 1;
        let address = self.public_address.lock().unwrap().unwrap_or(self.address);
        json!({
            "service": self.service, "address": address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0,
            "sequence": *heartbeats, "born": *self.born.lock().unwrap(),
        })
    }

    /// Times and ids of the printed lines that begin with a word.
    pub fn lines(&self, word: &str) -> Vec<(u64, String)> {
        let seen = self.seen.lock().unwrap();
        let lines = seen.iter().filter_map(|(at, line)| {
            let rest = line.strip_prefix(word)?;
            Some((*at, rest.trim().to_owned()))
        });
        lines.collect()
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.kill();
    }
}

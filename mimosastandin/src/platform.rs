//! Stand-in for the platform: transactional tables and the list of VMs.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use mimosashift::http::{Handler, Request, Responder, Server, Settings};
use mimosashift::platform::http::{Committed, Conflict, VmList};
use mimosashift::platform::{Check, Key, Outcome, Page, Refusal, Row, Table, Transaction, Write};
use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};
use ureq::http::{Method, StatusCode};

/// Maximum number of rows in one page of a scan.
const MAX_PAGE_ROWS: usize = 1_000;

/// Rate limits of the platform.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Rows written per second. Default 400.
    pub writes_per_second: f64,
    /// Read calls per second. Default 2,000.
    pub reads_per_second: f64,
}

/// Injected fault of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Closes every connection without a response and executes nothing.
    Down,
    /// Waits this many milliseconds before it executes a call.
    Slow(u64),
    /// Executes transactions, but closes the connection instead of responding.
    LoseAnswers,
    /// Never responds and executes nothing.
    Silent,
}

/// A running platform.
pub struct Instance {
    server: Server,
    state: Arc<State>,
}

struct State {
    store: Mutex<Store>,
}

struct Store {
    rows: BTreeMap<Key, Row>,
    revision: u64,
    vms: VmList,
    fault: Fault,
    writes: TokenBucket,
    reads: TokenBucket,
    counts: Counts,
}

/// Number of operations since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Committed transactions.
    pub transactions: u64,
    /// Rows written.
    pub rows_written: u64,
    /// Read calls served.
    pub reads: u64,
    /// Calls rejected by the rate limits.
    pub over_rate: u64,
}

/// Token bucket whose capacity is the rate times one second.
struct TokenBucket {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Default for Rates {
    fn default() -> Self {
        Self { writes_per_second: 400.0, reads_per_second: 2_000.0 }
    }
}

impl Instance {
    /// Starts an empty platform; port 0 binds to any free port.
    pub fn start(address: SocketAddr, rates: Rates) -> io::Result<Self> {
        let state = Arc::new(State { store: Mutex::new(Store::new(rates)) });
        let server =
            Server::start("platform", address, Settings::default(), Arc::clone(&state) as _)?;
        Ok(Self { server, state })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects a fault, which replaces the previous one.
    pub fn set_fault(&self, fault: Fault) {
        self.state.lock().fault = fault;
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: VmList) {
        self.state.lock().vms = vms;
    }

    /// Number of operations since the start.
    pub fn counts(&self) -> Counts {
        self.state.lock().counts
    }
}

impl State {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no holder of this lock panics")
    }

    fn commit(&self, request: &Request) -> (StatusCode, Vec<u8>) {
        let transaction: Transaction = match serde_json::from_slice(&request.body) {
            Ok(transaction) => transaction,
            Err(error) => return (StatusCode::BAD_REQUEST, error.to_string().into_bytes()),
        };
        match self.lock().commit(&transaction) {
            Outcome::Done(revision) => json_response(StatusCode::OK, &Committed { revision }),
            Outcome::NotDone(Refusal::Conflict(row)) => {
                json_response(StatusCode::CONFLICT, &Conflict { row })
            }
            _ => (StatusCode::TOO_MANY_REQUESTS, Vec::new()),
        }
    }

    fn read(&self, request: &Request) -> (StatusCode, Vec<u8>) {
        let mut segments = request.uri.path().trim_start_matches("/v1/tables/").splitn(3, '/');
        let (Some(table), Some("rows")) = (segments.next(), segments.next()) else {
            return (StatusCode::BAD_REQUEST, b"no such path".to_vec());
        };
        let mut store = self.lock();
        if !store.reads.try_take(1.0) {
            store.counts.over_rate += 1;
            return (StatusCode::TOO_MANY_REQUESTS, Vec::new());
        }
        store.counts.reads += 1;
        if let Some(key) = segments.next() {
            let key = Key { table: table.to_owned(), key: percent_decode(key) };
            return json_response(StatusCode::OK, &store.rows.get(&key));
        }
        let parameter = |name| percent_decode(request.parameter(name).unwrap_or(""));
        let limit = parameter("limit").parse().unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        json_response(
            StatusCode::OK,
            &store.scan(table, &parameter("prefix"), &parameter("after"), limit),
        )
    }

    fn execute(&self, request: &Request) -> (StatusCode, Vec<u8>) {
        match (&request.method, request.uri.path()) {
            (&Method::POST, "/v1/transactions") => self.commit(request),
            (&Method::GET, "/v1/vms") => json_response(StatusCode::OK, &self.lock().vms),
            (&Method::GET, "/v1/counts") => json_response(StatusCode::OK, &self.lock().counts),
            (&Method::GET, path) if path.starts_with("/v1/tables/") => self.read(request),
            _ => (StatusCode::BAD_REQUEST, b"no such path".to_vec()),
        }
    }
}

impl Handler for State {
    fn handle(&self, request: Request, responder: Responder) {
        if request.uri.path() == "/v1/fault" {
            return match serde_json::from_slice(&request.body) {
                Ok(fault) => {
                    self.lock().fault = fault;
                    responder.json(StatusCode::OK, b"{}".to_vec());
                }
                Err(error) => {
                    responder.json(StatusCode::BAD_REQUEST, error.to_string().into_bytes());
                }
            };
        }
        let fault = self.lock().fault;
        match fault {
            Fault::Down => return responder.abort(),
            Fault::Silent => {
                while !responder.is_disconnected() {
                    thread::sleep(Duration::from_millis(50));
                }
                return;
            }
            Fault::Slow(millis) => thread::sleep(Duration::from_millis(millis)),
            Fault::None | Fault::LoseAnswers => {}
        }
        let (status, body) = self.execute(&request);
        if fault == Fault::LoseAnswers && request.method == Method::POST {
            return responder.abort();
        }
        responder.json(status, body);
    }
}

/// Direct access without sockets. Commits are rate limited as over HTTP; reads
/// and scans are not.
impl Table for Instance {
    fn commit(&self, transaction: &Transaction) -> Outcome<u64> {
        self.state.lock().commit(transaction)
    }

    fn read(&self, key: &Key) -> Outcome<Option<Row>> {
        Outcome::Done(self.state.lock().rows.get(key).cloned())
    }

    fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Outcome<Page> {
        Outcome::Done(self.state.lock().scan(table, prefix, after, limit))
    }
}

impl Store {
    fn new(rates: Rates) -> Self {
        Self {
            rows: BTreeMap::new(),
            revision: 0,
            vms: VmList::default(),
            fault: Fault::None,
            writes: TokenBucket::new(rates.writes_per_second),
            reads: TokenBucket::new(rates.reads_per_second),
            counts: Counts::default(),
        }
    }

    fn commit(&mut self, transaction: &Transaction) -> Outcome<u64> {
        if !self.writes.try_take(transaction.writes.len() as f64) {
            self.counts.over_rate += 1;
            return Outcome::NotDone(Refusal::OverBudget);
        }
        for check in &transaction.checks {
            let (key, expected) = match check {
                Check::Absent(key) => (key, None),
                Check::Revision(key, revision) => (key, Some(*revision)),
            };
            let found = self.rows.get(key);
            if found.map(|row| row.revision) != expected {
                return Outcome::NotDone(Refusal::Conflict(found.cloned()));
            }
        }
        self.revision += 1;
        self.counts.transactions += 1;
        self.counts.rows_written += transaction.writes.len() as u64;
        for write in &transaction.writes {
            match write {
                Write::Put(key, value) => {
                    let (revision, value) = (self.revision, value.clone());
                    self.rows.insert(key.clone(), Row { key: key.clone(), revision, value });
                }
                Write::Delete(key) => {
                    self.rows.remove(key);
                }
            }
        }
        Outcome::Done(self.revision)
    }

    fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Page {
        let start = Key { table: table.to_owned(), key: after.max(prefix).to_owned() };
        let has_prefix = |row: &&Row| row.key.table == table && row.key.key.starts_with(prefix);
        let mut rows: Vec<Row> = self
            .rows
            .range(start..)
            .map(|(_, row)| row)
            .skip_while(|row| row.key.table == table && row.key.key.as_str() <= after)
            .take_while(has_prefix)
            .take(limit + 1)
            .cloned()
            .collect();
        let more = rows.len() > limit;
        rows.truncate(limit);
        Page { rows, more }
    }
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        Self { rate, tokens: rate, refilled_at: Instant::now() }
    }

    fn try_take(&mut self, amount: f64) -> bool {
        let elapsed = self.refilled_at.elapsed().as_secs_f64();
        self.refilled_at = Instant::now();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        if self.tokens < amount {
            return false;
        }
        self.tokens -= amount;
        true
    }
}

fn json_response(status: StatusCode, value: &impl Serialize) -> (StatusCode, Vec<u8>) {
    (status, serde_json::to_vec(value).expect("all map keys are strings"))
}

fn percent_decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

//! Endpoints of a test cluster: their entries in the store, and a record of the
//! requests they received.

use std::collections::{HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::engine::{self, Engine, Reply};
use super::plain::{self, Plain};
use super::proxy::{LinkState, Proxy};
use super::store::Store;
use super::{ClusterOptions, HEARTBEAT_INTERVAL, LAYERS, zone};

/// Id of a prompt part that crashes each engine that begins to write an answer on
/// it.
pub const CRASHING_PART: &str = "bad0";

/// Id of a prompt part that crashes the last engine of each chain that begins to
/// write an answer on it.
pub const CRASHING_LAST_PART: &str = "bad1";

/// Body of a request that crashes each endpoint that begins to run it.
pub const CRASHING_BODY: &[u8] = b"crash";

/// Time after which an endpoint crashes under such a request.
const CRASH_DELAY: Duration = Duration::from_millis(35);

/// Time for which nothing listens at the address of an endpoint that is replaced.
const REPLACEMENT_TIME: Duration = Duration::from_millis(5);

/// Time for which the directory lists a process that has been replaced.
const FORMER_ENTRY_TIME: Duration = Duration::from_secs(1);

/// Time for which an endpoint is down after a crash.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

/// What endpoints recorded about one request.
#[derive(Clone, Debug, Default)]
pub struct RequestTrace {
    /// Number of executions.
    pub runs: usize,
    /// When the request last reached an endpoint or its stream was cancelled.
    pub last_activity: Option<Instant>,
    /// Team named by the router.
    pub team: Option<String>,
    /// Priority named by the router.
    pub priority: Option<String>,
    /// Whether the client's key reached an endpoint.
    pub key_leaked: bool,
    /// Method, path and body as received.
    pub call: String,
    /// Number of events generated.
    pub events: usize,
    /// When the first one was.
    pub first_event: Option<Instant>,
}

impl RequestTrace {
    pub fn record_event(&mut self) {
        self.events += 1;
        self.first_event.get_or_insert_with(Instant::now);
    }
}

/// Behavior of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Healthy,
    /// Answers no requests and sends no heartbeats.
    Unresponsive,
    /// Fails every request though it reports to be healthy.
    Failing,
    /// Breaks off responses: plain services before the head, engines after two
    /// events.
    DropsResponses,
    /// Answers in full, but marks the end only by closing the connection.
    Unframed,
    /// Marks the end only by closing the connection, and closes it after two
    /// events, inside the third.
    ClosesInsideEvent,
    /// Marks the end only by closing the connection, and crashes after two events
    /// of a stream.
    CrashesAfterEvent,
    /// Each of its streams is an event without end, in tiny pieces.
    Trickles,
    /// Gives no report, and each of its streams pauses once, for `STUCK_PAUSE`.
    Stuck,
}

/// A test endpoint, with its directory entry and behavior.
pub struct Member {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub proxy: Arc<Proxy>,
    pub state: Mutex<State>,
    /// When it rejected each request.
    pub rejections: Mutex<Vec<Instant>>,
}

pub struct State {
    pub health: Health,
    pub draining: bool,
    pub removed: bool,
    pub incarnation: u64,
    pub heartbeats: u64,
    pub layers: Option<(u16, u16)>,
    pub orders: u64,
    pub busy: bool,
    /// Limit on its requests per second, as named in its answers.
    pub request_limit: Option<&'static str>,
    /// Time to rest, as named in its answers; it rejects all requests if there is one.
    pub rest: Option<&'static str>,
    /// Status with which it fails each request that it has run, without a word on whether it
    /// has, and whether it signs the answer.
    pub failure: Option<(u16, bool)>,
    /// Whether its answers say that it is leaving.
    pub leaving: bool,
    /// Whether other engines do not reach it, while the routers do.
    pub cut_off: bool,
    /// It refuses one of this many requests as full; engines name the last of the chain.
    pub refusal_interval: Option<u64>,
    /// Time until an endpoint of a plain service refuses a request.
    pub refusal_delay: Duration,
    /// Requests counted for that.
    pub offered: u64,
    /// Time from the begin of a stream until an engine sends its head.
    pub head_delay: Duration,
    /// A field of its directory entry, and what the entry says there instead of the truth.
    pub listed: Option<(&'static str, Value)>,
    /// Number of processes that had its address before.
    pub replaced: usize,
    /// Their ids that are still listed, and until when.
    pub former: Vec<(String, Instant)>,
}

pub struct Endpoints {
    pub members: Vec<Arc<Member>>,
    pub traces: Mutex<HashMap<String, RequestTrace>>,
    /// When each request arrived, also one that was rejected, at which endpoint, and its id.
    pub arrivals: Mutex<Vec<(Instant, String, String)>>,
    /// When each request with [`CRASHING_PART`] or [`CRASHING_BODY`] arrived at an
    /// endpoint.
    pub crashing_arrivals: Mutex<Vec<Instant>>,
    /// Ids of requests with [`CRASHING_LAST_PART`].
    pub crashing_last: Mutex<HashSet<String>>,
    /// When each endpoint crashed under such a request.
    pub crashes: Mutex<Vec<Instant>>,
    /// Violations of invariants, as observed by endpoints.
    pub violations: Mutex<Vec<String>>,
    /// Chain of each request by id, also after the request has ended.
    pub chains: Mutex<HashMap<String, Vec<engine::Hop>>>,
    pub options: ClusterOptions,
    /// Addresses of links of single routers, and the numbers of the endpoints they lead to.
    links: Mutex<HashMap<SocketAddr, usize>>,
}

impl Health {
    /// Whether responses have neither a length nor chunks.
    pub fn is_unframed(self) -> bool {
        matches!(self, Self::Unframed | Self::ClosesInsideEvent | Self::CrashesAfterEvent)
    }
}

impl Member {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Id of the process that has its address now.
    pub fn process_id(&self) -> String {
        process_id(&self.id, self.state().replaced)
    }

    /// Replaces its process by one with another id at the same address. The entry of the
    /// former one stays for `FORMER_ENTRY_TIME`.
    pub async fn replace(&self, link: LinkState) {
        self.proxy.set(LinkState::Reset);
        let former = (self.process_id(), Instant::now() + FORMER_ENTRY_TIME);
        {
            let mut state = self.state();
            state.former.push(former);
            state.replaced += 1;
            state.incarnation += 1;
        }
        tokio::time::sleep(REPLACEMENT_TIME).await;
        self.proxy.set(link);
    }

    pub fn limit_requests(&self, limit: Option<&'static str>) {
        self.state().request_limit = limit;
    }

    /// Whether it asks for rests or says that it is leaving.
    pub fn is_reluctant(&self) -> bool {
        let state = self.state();
        state.rest.is_some() || state.leaving
    }

    /// Whether it refuses the next request, as one of `refusal_interval`.
    pub fn refuses_in_turn(&self) -> bool {
        let mut state = self.state();
        state.offered += 1;
        state.refusal_interval.is_some_and(|interval| state.offered.is_multiple_of(interval))
    }

    /// The rejection of a request, if it rejects all.
    pub fn reject(&self, id: &str) -> Option<Reply> {
        let rest = self.state().rest?;
        self.rejections.lock().unwrap().push(Instant::now());
        let headers = [("not-executed", "1"), ("request-id", id), ("retry-after", rest)];
        Some(engine::reply(503, &headers, "{}"))
    }

    /// The failure of a request that has run, if it fails all.
    pub fn fail(&self, id: &str) -> Option<Reply> {
        let (status, is_signed) = self.state().failure?;
        let signature = format!("sig-{id}");
        let headers =
            [("request-id", id), ("retry-after", "0.05"), ("response-signature", &signature)];
        let headers = if is_signed { &headers[..] } else { &headers[..2] };
        Some(engine::reply(status, headers, "failed"))
    }

    /// The answer with what this endpoint says of itself in all answers.
    pub fn with_state(&self, mut reply: Reply) -> Reply {
        let state = self.state();
        if let Some(limit) = state.request_limit {
            reply.headers_mut().insert("server-limit", limit.parse().unwrap());
        }
        if state.leaving {
            reply.headers_mut().insert("server-leaving", "1".parse().unwrap());
        }
        reply
    }

    /// Whether the endpoint responds and holds these layers.
    pub fn holds(&self, from: u16, to: u16) -> bool {
        let state = self.state();
        state.health != Health::Unresponsive
            && state.layers.is_some_and(|(a, b)| a <= from && to <= b)
    }

    /// Closes all connections, refuses new ones, and restarts after `DOWN_TIME`.
    pub async fn crash(&self) {
        self.state().health = Health::Unresponsive;
        self.proxy.set(LinkState::Reset);
        tokio::time::sleep(DOWN_TIME).await;
        self.restart();
        self.proxy.set(LinkState::Up);
    }

    /// Restarts the endpoint, which loses its layers and all state.
    pub fn restart(&self) {
        let mut state = self.state();
        state.incarnation += 1;
        state.layers = None;
        state.orders = 0;
        state.busy = false;
        state.health = Health::Healthy;
        state.request_limit = None;
        state.rest = None;
        state.leaving = false;
        state.removed = false;
        state.draining = false;
    }
}

impl Endpoints {
    pub async fn start(store: Arc<Store>, address: Ipv4Addr, options: ClusterOptions) -> Arc<Self> {
        let mut members = Vec::new();
        for z in 0..options.zones {
            for n in 0..options.engines_per_zone {
                members.push(("model", zone(z), format!("engine-{z}-{n}")));
            }
            for n in 0..options.registers_per_zone {
                let number = if n == 0 { String::new() } else { format!("-{n}") };
                members.push(("register", zone(z), format!("register-{z}{number}")));
            }
        }
        let mut started = Vec::new();
        let mut listeners = Vec::new();
        for (service, zone, id) in members {
            let listener = tokio::net::TcpListener::bind((address, 0)).await.unwrap();
            let proxy = Proxy::start(address, listener.local_addr().unwrap()).await;
            let state = State {
                health: Health::Healthy,
                draining: false,
                removed: false,
                incarnation: 1_700_000_000_000,
                heartbeats: 0,
                layers: None,
                orders: 0,
                busy: false,
                request_limit: None,
                rest: None,
                failure: None,
                leaving: false,
                cut_off: false,
                refusal_interval: None,
                refusal_delay: Duration::ZERO,
                offered: 0,
                head_delay: Duration::ZERO,
                listed: None,
                replaced: 0,
                former: Vec::new(),
            };
            let (state, rejections) = (Mutex::new(state), Mutex::default());
            started.push(Arc::new(Member { id, service, zone, proxy, state, rejections }));
            listeners.push(listener);
        }
        let endpoints = Arc::new(Self {
            members: started,
            traces: Mutex::default(),
            arrivals: Mutex::default(),
            crashing_arrivals: Mutex::default(),
            crashing_last: Mutex::default(),
            crashes: Mutex::default(),
            violations: Mutex::default(),
            chains: Mutex::default(),
            options,
            links: Mutex::default(),
        });
        for (member, listener) in endpoints.members.iter().zip(listeners) {
            let (endpoints, member) = (endpoints.clone(), member.clone());
            match member.service {
                "model" => tokio::spawn(engine::serve(Engine { endpoints, member }, listener)),
                _ => tokio::spawn(plain::serve(Plain { endpoints, member }, listener)),
            };
        }
        tokio::spawn(send_heartbeats(endpoints.clone(), store));
        endpoints
    }

    pub fn get(&self, id: &str) -> &Arc<Member> {
        self.members.iter().find(|member| member.id == id).unwrap()
    }

    pub fn engines(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.iter().filter(|member| member.service == "model")
    }

    pub fn at(&self, address: SocketAddr) -> Option<&Arc<Member>> {
        let link = self.links.lock().unwrap().get(&address).copied();
        let listens = || self.members.iter().find(|member| member.address() == address);
        link.map(|number| &self.members[number]).or_else(listens)
    }

    /// Opens a link to each endpoint for a single router; returns the links, in order.
    pub async fn open_links(&self, from: Ipv4Addr) -> Vec<Arc<Proxy>> {
        let mut links = Vec::new();
        for (number, member) in self.members.iter().enumerate() {
            let link = Proxy::start(from, member.address()).await;
            self.links.lock().unwrap().insert(link.address(), number);
            links.push(link);
        }
        links
    }

    /// Whether every zone holds every layer.
    pub fn is_placed(&self, zones: usize) -> bool {
        (0..zones).all(|z| {
            let zone = zone(z);
            (0..LAYERS)
                .all(|layer| self.engines().any(|e| e.zone == zone && e.holds(layer, layer + 1)))
        })
    }

    pub fn trace(&self, id: &str) -> RequestTrace {
        self.traces.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    pub fn update_trace(&self, id: &str, change: impl FnOnce(&mut RequestTrace)) {
        change(self.traces.lock().unwrap().entry(id.to_owned()).or_default());
    }

    pub fn record_arrival(&self, member: &Member, request: &str) {
        let arrival = (Instant::now(), member.id.clone(), request.to_owned());
        self.arrivals.lock().unwrap().push(arrival);
    }

    /// Crashes `member` after `CRASH_DELAY`.
    pub fn crash(self: &Arc<Self>, member: &Arc<Member>) {
        let (endpoints, member) = (self.clone(), member.clone());
        tokio::spawn(async move {
            tokio::time::sleep(CRASH_DELAY).await;
            if member.state().health == Health::Healthy {
                endpoints.crashes.lock().unwrap().push(Instant::now());
                member.crash().await;
            }
        });
    }

    /// Arrivals of requests that crash endpoints later than `window` after the
    /// `number`th crash, or the last one if there are fewer.
    pub fn late_arrivals(&self, number: usize, window: Duration) -> usize {
        let crashes = self.crashes.lock().unwrap();
        let from = crashes.get(number - 1).or(crashes.last()).map(|crash| *crash + window);
        let arrivals = self.crashing_arrivals.lock().unwrap();
        arrivals.iter().filter(|at| from.is_some_and(|from| **at > from)).count()
    }

    pub fn violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }
}

fn process_id(id: &str, replaced: usize) -> String {
    if replaced == 0 { id.to_owned() } else { format!("{id}.{replaced}") }
}

/// Renews the registrations of the endpoints at each heartbeat.
async fn send_heartbeats(endpoints: Arc<Endpoints>, store: Arc<Store>) {
    loop {
        for member in &endpoints.members {
            let mut state = member.state();
            if state.removed {
                store.remove("servers", &member.id);
                continue;
            }
            if state.health == Health::Unresponsive || member.proxy.is_stopped() {
                continue;
            }
            state.heartbeats += 1;
            let layers =
                state.layers.map(|(from, to)| json!({"from": from, "to": to, "version": 1}));
            let mut entry = json!({
                "service": member.service, "address": member.address(), "zone": member.zone,
                "version": "v1", "slots": 64, "cold_remaining_ms": 0,
                "state": if state.draining { "draining" } else { "ready" },
                "sequence": state.heartbeats, "born": state.incarnation, "kind": "card", "layers": layers,
            });
            if let Some((field, value)) = &state.listed {
                entry[*field] = value.clone();
            }
            let id = process_id(&member.id, state.replaced);
            let expired = |(_, until): &mut (String, Instant)| *until <= Instant::now();
            let gone: Vec<_> = state.former.extract_if(.., expired).collect();
            drop(state);
            store.put("servers", &id, &entry);
            gone.iter().for_each(|(id, _)| store.remove("servers", id));
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

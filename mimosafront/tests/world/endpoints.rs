//! The endpoints of a world: their entries in the store and what they saw.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use serde_json::json;

use super::engine::{self, Engine};
use super::plain::{self, Plain};
use super::proxy::Proxy;
use super::store::Store;
use super::{HEARTBEAT, LAYERS, Plan, zone};

/// What endpoints saw of one request.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Times that it ran.
    pub runs: usize,
    /// When it last reached an endpoint.
    pub last: Option<Instant>,
    /// Team that the router named.
    pub team: Option<String>,
    /// Whether the client's key reached an endpoint.
    pub key_leaked: bool,
    /// Method, path and body as they arrived.
    pub call: String,
    /// Events made.
    pub events: usize,
}

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Well,
    /// Answers nothing and says nothing.
    Dark,
    /// Fails every request though it says that it is well.
    Failing,
    /// Runs requests and closes the connection.
    LosesAnswers,
    /// Gives no report, and its streams pause for most of a second.
    Stuck,
}

/// An endpoint's entry, and how it behaves.
pub struct Member {
    pub id: String,
    pub service: &'static str,
    pub zone: String,
    pub proxy: Arc<Proxy>,
    pub state: Mutex<State>,
}

pub struct State {
    pub health: Health,
    pub draining: bool,
    pub gone: bool,
    pub born: u64,
    pub beats: u64,
    pub layers: Option<(u16, u16)>,
    pub orders: u64,
    pub busy: bool,
}

pub struct Endpoints {
    pub members: Vec<Arc<Member>>,
    pub seen: Mutex<HashMap<String, Seen>>,
    /// What must never happen, as it was seen.
    pub violations: Mutex<Vec<String>>,
    pub running: Mutex<HashMap<String, Vec<engine::Part>>>,
    pub plan: Plan,
}

impl Member {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn address(&self) -> SocketAddr {
        self.proxy.address()
    }

    /// Whether it works and holds these layers.
    pub fn holds(&self, from: u16, to: u16) -> bool {
        let state = self.state();
        state.health != Health::Dark && state.layers.is_some_and(|(a, b)| a <= from && to <= b)
    }

    /// It starts again: it holds nothing and knows nothing of before.
    pub fn restart(&self) {
        let mut state = self.state();
        state.born += 1;
        state.layers = None;
        state.orders = 0;
        state.busy = false;
        state.health = Health::Well;
        state.gone = false;
        state.draining = false;
    }
}

impl Endpoints {
    pub async fn start(store: Arc<Store>, address: Ipv4Addr, plan: Plan) -> Arc<Self> {
        let mut members = Vec::new();
        for z in 0..plan.zones {
            for n in 0..plan.engines_per_zone {
                members.push(("model", zone(z), format!("engine-{z}-{n}")));
            }
            members.push(("register", zone(z), format!("register-{z}")));
        }
        let mut made = Vec::new();
        let mut listeners = Vec::new();
        for (service, zone, id) in members {
            let listener = tokio::net::TcpListener::bind((address, 0)).await.unwrap();
            let proxy = Proxy::start(address, listener.local_addr().unwrap()).await;
            let state = State {
                health: Health::Well,
                draining: false,
                gone: false,
                born: 1_700_000_000_000,
                beats: 0,
                layers: None,
                orders: 0,
                busy: false,
            };
            made.push(Arc::new(Member { id, service, zone, proxy, state: Mutex::new(state) }));
            listeners.push(listener);
        }
        let endpoints = Arc::new(Self {
            members: made,
            seen: Mutex::default(),
            violations: Mutex::default(),
            running: Mutex::default(),
            plan,
        });
        for (member, listener) in endpoints.members.iter().zip(listeners) {
            let (endpoints, member) = (endpoints.clone(), member.clone());
            match member.service {
                "model" => tokio::spawn(engine::serve(Engine { endpoints, member }, listener)),
                _ => tokio::spawn(plain::serve(Plain { endpoints, member }, listener)),
            };
        }
        tokio::spawn(beat(endpoints.clone(), store));
        endpoints
    }

    pub fn get(&self, id: &str) -> &Arc<Member> {
        self.members.iter().find(|member| member.id == id).unwrap()
    }

    pub fn engines(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.members.iter().filter(|member| member.service == "model")
    }

    pub fn at(&self, address: SocketAddr) -> Option<&Arc<Member>> {
        self.members.iter().find(|member| member.address() == address)
    }

    /// Whether each zone holds every layer.
    pub fn is_placed(&self, zones: usize) -> bool {
        (0..zones).all(|z| {
            let zone = zone(z);
            (0..LAYERS)
                .all(|layer| self.engines().any(|e| e.zone == zone && e.holds(layer, layer + 1)))
        })
    }

    pub fn seen(&self, id: &str) -> Seen {
        self.seen.lock().unwrap().get(id).cloned().unwrap_or_default()
    }

    pub fn note(&self, id: &str, change: impl FnOnce(&mut Seen)) {
        change(self.seen.lock().unwrap().entry(id.to_owned()).or_default());
    }

    pub fn violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }
}

/// Registers the endpoints again and again.
async fn beat(endpoints: Arc<Endpoints>, store: Arc<Store>) {
    loop {
        for member in &endpoints.members {
            let mut state = member.state();
            if state.gone {
                store.remove("servers", &member.id);
                continue;
            }
            if state.health == Health::Dark {
                continue;
            }
            state.beats += 1;
            let layers =
                state.layers.map(|(from, to)| json!({"from": from, "to": to, "version": 1}));
            let entry = json!({
                "service": member.service, "address": member.address(), "zone": member.zone,
                "version": "v1", "slots": 64, "cold_remaining_ms": 0,
                "state": if state.draining { "draining" } else { "ready" },
                "sequence": state.beats, "born": state.born, "kind": "card", "layers": layers,
            });
            drop(state);
            store.put("servers", &member.id, &entry);
        }
        tokio::time::sleep(HEARTBEAT).await;
    }
}

//! Stand-in for a model engine that holds a range of layers.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use mimosashift::engine::http::{self, Code, Content, Header, Import, Refusal, STEP_HEADER};
use mimosashift::engine::{Failure, Input, Label, Load, Output, RequestId, Step};
use mimosashift::http::client::{Call, Client};
use mimosashift::http::{Handler, Request, Responder, Server, Settings};
use mimosashift::resource::{Engine, ModelLayers, Name};
use serde::{Deserialize, Serialize};
use ureq::http::{Method, StatusCode};

use crate::oracle::{self, Cache};

/// Time without a step after which the cache of a request is dropped.
const CACHE_EXPIRY: Duration = Duration::from_secs(120);

/// Timeout of a request for another engine's cache.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Cost of one prompt token relative to one decode step.
const PROMPT_TOKEN_COST: f64 = 0.02;

/// Injected fault of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Closes every connection without a response.
    Dead,
    /// Never responds to requests on connections that were open when the fault
    /// was set; new connections work.
    Silent,
    /// Takes this many times as long for each step.
    Slow(u32),
    /// Refuses new requests and reports that it is leaving.
    Leaving,
    /// Responds with a wrong version in the label of a step.
    Lying,
}

/// A running engine.
pub struct Instance {
    server: Server,
    state: Arc<State>,
}

struct State {
    spec: Engine,
    /// Number of layers of each model.
    models: HashMap<Name, u16>,
    client: Client,
    /// The fault, and the first connection ID that was unused when it was set.
    fault: Mutex<(Fault, u64)>,
    sequences: Mutex<HashMap<RequestId, Sequence>>,
    free_slots: Mutex<u16>,
    slot_released: Condvar,
    /// Lowest connection ID above all those seen.
    next_connection: AtomicU64,
    steps: AtomicU64,
}

struct Sequence {
    attempt: u32,
    cache: Cache,
    last_used: Instant,
}

impl Instance {
    /// Starts an engine for models with the given numbers of layers; port 0
    /// binds to any free port.
    pub fn start(
        address: SocketAddr,
        spec: Engine,
        models: HashMap<Name, u16>,
    ) -> io::Result<Self> {
        let state = Arc::new(State {
            free_slots: Mutex::new(spec.slots),
            spec,
            models,
            client: Client::new(Default::default()),
            fault: Mutex::default(),
            sequences: Mutex::default(),
            slot_released: Condvar::new(),
            next_connection: AtomicU64::new(0),
            steps: AtomicU64::new(0),
        });
        let settings = Settings { max_requests: 256, ..Settings::default() };
        let server = Server::start("engine", address, settings, Arc::clone(&state) as _)?;
        Ok(Self { server, state })
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Injects a fault, which replaces the previous one.
    pub fn set_fault(&self, fault: Fault) {
        self.state.set_fault(fault);
    }

    /// Number of steps run.
    pub fn steps(&self) -> u64 {
        self.state.steps.load(Ordering::Relaxed)
    }

    /// Drops every cache, as a restart does.
    pub fn drop_caches(&self) {
        self.state.lock_sequences().clear();
    }
}

impl State {
    fn set_fault(&self, fault: Fault) {
        let first_unused = self.next_connection.load(Ordering::Acquire);
        *self.fault.lock().expect("no holder of this lock panics") = (fault, first_unused);
    }

    fn fault_for(&self, connection: u64) -> Fault {
        self.next_connection.fetch_max(connection + 1, Ordering::AcqRel);
        let (fault, first_unused) = *self.fault.lock().expect("no holder of this lock panics");
        match fault {
            Fault::Silent if connection >= first_unused => Fault::None,
            fault => fault,
        }
    }

    fn lock_sequences(&self) -> std::sync::MutexGuard<'_, HashMap<RequestId, Sequence>> {
        self.sequences.lock().expect("no holder of this lock panics")
    }

    fn handle_step(&self, request: &Request, fault: Fault) -> Result<(Header, Vec<u8>), Failure> {
        let header = request.header(STEP_HEADER);
        let header = header.ok_or_else(|| Failure::Refused("no step header".into()))?;
        let step = http::decode(header, &request.body)?;
        self.validate(&step)?;
        if fault == Fault::Leaving && step.label.position == 0 {
            return Err(Failure::Leaving);
        }
        let _slot = self.acquire_slot();
        self.simulate_compute(&step.label, fault);
        let output = self.run_step(&step)?;
        let mut label = step.label;
        if fault == Fault::Lying {
            label.version += 1;
        }
        let (content, body) = match output {
            Output::Hidden(hidden) => (Content::Hidden, hidden),
            Output::Token(token) => (Content::Tokens, token.to_le_bytes().to_vec()),
        };
        Ok((Header { label, content, priority: step.priority, adapter: step.adapter }, body))
    }

    fn validate(&self, step: &Step) -> Result<(), Failure> {
        let label = &step.label;
        let holds_layers = |h: &ModelLayers| {
            h.pipeline == label.pipeline
                && h.version == label.version
                && h.layers.contains(label.layers)
        };
        if !self.spec.holds.iter().any(holds_layers) {
            return Err(Failure::Refused(format!("layers {} are not held", label.layers)));
        }
        let count = match &step.input {
            Input::Tokens(tokens) => tokens.len(),
            Input::Hidden(hidden) => hidden.len() / size_of::<u64>(),
        };
        if count != label.count as usize || count == 0 {
            return Err(Failure::Refused(format!("{count} inputs, must be {}", label.count)));
        }
        Ok(())
    }

    /// Sleeps for the time that an accelerator of this kind would take.
    fn simulate_compute(&self, label: &Label, fault: Fault) {
        let layers = f64::from(label.layers.count());
        let tokens = 1.0 + f64::from(label.count - 1) * PROMPT_TOKEN_COST;
        let mut micros = f64::from(self.spec.layer_us) * layers * tokens;
        if let Fault::Slow(factor) = fault {
            micros *= f64::from(factor);
        }
        thread::sleep(Duration::from_micros(micros as u64));
    }

    fn run_step(&self, step: &Step) -> Result<Output, Failure> {
        let label = &step.label;
        let mut sequences = self.lock_sequences();
        sequences.retain(|_, sequence| sequence.last_used.elapsed() < CACHE_EXPIRY);
        if label.position == 0 {
            let stale = sequences.get(&label.request).is_some_and(|s| s.attempt >= label.attempt);
            if stale {
                return Err(Failure::Refused("the attempt is not newer".into()));
            }
            let cache = Cache::new(label.layers, label.version);
            let sequence = Sequence { attempt: label.attempt, cache, last_used: Instant::now() };
            sequences.insert(label.request, sequence);
        }
        let sequence = sequences.get_mut(&label.request).ok_or(Failure::NoCache)?;
        if sequence.attempt != label.attempt || sequence.cache.layers() != label.layers {
            return Err(Failure::NoCache);
        }
        let position = sequence.cache.position();
        if position != label.position {
            let reason = format!("position {}, must be {position}", label.position);
            return Err(Failure::Refused(reason));
        }
        sequence.last_used = Instant::now();
        self.steps.fetch_add(1, Ordering::Relaxed);
        Ok(run_layers(&mut sequence.cache, &step.input, self.is_last_stage(label)))
    }

    /// Whether the layers end with the last layer of the model.
    fn is_last_stage(&self, label: &Label) -> bool {
        self.models.get(&label.pipeline) == Some(&label.layers.end())
    }

    fn acquire_slot(&self) -> SlotGuard<'_> {
        let mut free = self.free_slots.lock().expect("no holder of this lock panics");
        while *free == 0 {
            free = self.slot_released.wait(free).expect("no holder of this lock panics");
        }
        *free -= 1;
        SlotGuard(self)
    }

    fn load(&self, fault: Fault) -> Load {
        let cached = self.lock_sequences().len() as u32;
        let running = cached.min(u32::from(self.spec.slots));
        Load {
            queued: cached - running,
            running,
            kv_free_tokens: 1 << 20,
            leaving: fault == Fault::Leaving,
            incarnation: 1,
        }
    }

    fn export_cache(&self, request: RequestId) -> Option<Cache> {
        self.lock_sequences().get(&request).map(|sequence| sequence.cache.clone())
    }

    fn import_cache(&self, body: &[u8]) -> Result<(), Failure> {
        let import: Import =
            serde_json::from_slice(body).map_err(|e| Failure::Refused(e.to_string()))?;
        let path = format!("/v1/requests/{}/cache", import.source.request);
        let call = Call {
            address: import.from,
            method: Method::GET,
            path: &path,
            headers: &[],
            body: &[],
            timeout: IMPORT_TIMEOUT,
            fresh: false,
        };
        let response = self.client.call(&call).map_err(Failure::from)?;
        let cache: Cache = serde_json::from_slice(&response.body).map_err(|_| Failure::NoCache)?;
        let source = &import.source;
        if cache.position() != source.position || cache.layers() != source.layers {
            return Err(Failure::NoCache);
        }
        let sequence = Sequence { attempt: import.attempt, cache, last_used: Instant::now() };
        self.lock_sequences().insert(source.request, sequence);
        Ok(())
    }

    fn cancel(&self, path: &str, attempt: Option<u32>) {
        let Some(id) = path.strip_prefix("/v1/requests/") else { return };
        let Ok(id) = RequestId::try_from(id.to_owned()) else { return };
        let mut sequences = self.lock_sequences();
        if sequences.get(&id).is_some_and(|s| attempt.is_none_or(|a| s.attempt <= a)) {
            sequences.remove(&id);
        }
    }
}

impl Handler for State {
    fn handle(&self, request: Request, responder: Responder) {
        let fault = self.fault_for(request.connection);
        let path = request.uri.path();
        match (&request.method, path) {
            (&Method::POST, "/v1/fault") => match serde_json::from_slice(&request.body) {
                Ok(fault) => {
                    self.set_fault(fault);
                    responder.json(StatusCode::OK, b"{}".to_vec());
                }
                Err(error) => refuse(responder, Failure::Refused(error.to_string())),
            },
            _ if fault == Fault::Dead => responder.abort(),
            _ if fault == Fault::Silent => {
                while !responder.is_disconnected() {
                    thread::sleep(Duration::from_millis(50));
                }
            }
            (&Method::POST, "/v1/steps") => match self.handle_step(&request, fault) {
                Ok((header, body)) => {
                    let header = serde_json::to_string(&header).expect("all map keys are strings");
                    let name = STEP_HEADER.parse().expect("the header name is valid");
                    responder.send(StatusCode::OK, &[(name, &header)], body);
                }
                Err(failure) => refuse(responder, failure),
            },
            (&Method::POST, "/v1/imports") => match self.import_cache(&request.body) {
                Ok(()) => responder.json(StatusCode::OK, b"{}".to_vec()),
                Err(failure) => refuse(responder, failure),
            },
            (&Method::GET, "/v1/load") => {
                let load = serde_json::to_vec(&self.load(fault)).expect("all map keys are strings");
                responder.json(StatusCode::OK, load);
            }
            (&Method::GET, _) if path.ends_with("/cache") => {
                let id = path.trim_start_matches("/v1/requests/").trim_end_matches("/cache");
                let cache =
                    RequestId::try_from(id.to_owned()).ok().and_then(|r| self.export_cache(r));
                match cache {
                    Some(cache) => {
                        let body = serde_json::to_vec(&cache).expect("all map keys are strings");
                        responder.json(StatusCode::OK, body);
                    }
                    None => refuse(responder, Failure::NoCache),
                }
            }
            (&Method::DELETE, _) => {
                let attempt = request.parameter("attempt").and_then(|a| a.parse().ok());
                self.cancel(path, attempt);
                responder.json(StatusCode::OK, b"{}".to_vec());
            }
            _ => refuse(responder, Failure::Refused(format!("no such path {path:?}"))),
        }
    }
}

/// A slot in the running batch, released when dropped.
struct SlotGuard<'a>(&'a State);

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        *self.0.free_slots.lock().expect("no holder of this lock panics") += 1;
        self.0.slot_released.notify_one();
    }
}

fn run_layers(cache: &mut Cache, input: &Input, is_last_stage: bool) -> Output {
    let inputs: Vec<u64> = match input {
        Input::Tokens(tokens) => {
            let position = cache.position();
            (position..).zip(tokens).map(|(p, &token)| oracle::embed(token, p)).collect()
        }
        Input::Hidden(hidden) => hidden
            .chunks_exact(size_of::<u64>())
            .map(|c| u64::from_le_bytes(c.try_into().expect("chunks have 8 bytes")))
            .collect(),
    };
    let outputs: Vec<u64> = inputs.into_iter().map(|hidden| cache.advance(hidden)).collect();
    if is_last_stage {
        let hidden = outputs.last().expect("a step has at least one token");
        return Output::Token(oracle::sample(*hidden));
    }
    Output::Hidden(outputs.iter().flat_map(|hidden| hidden.to_le_bytes()).collect())
}

fn refuse(responder: Responder, failure: Failure) {
    let (status, code) = match &failure {
        Failure::NoCache => (StatusCode::GONE, Code::NoCache),
        Failure::Leaving => (StatusCode::SERVICE_UNAVAILABLE, Code::Leaving),
        Failure::Overloaded => (StatusCode::TOO_MANY_REQUESTS, Code::Overloaded),
        _ => (StatusCode::CONFLICT, Code::Refused),
    };
    let refusal = Refusal { code, detail: failure.to_string() };
    responder.json(status, serde_json::to_vec(&refusal).expect("all map keys are strings"));
}

//! Streams from a model: admission, the choice of a chain and its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use mimosaplatform::header;
use mimosashift::admit::pressure::MAX_WAIT;
use mimosashift::deployment::Engine;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{Chain, Claim, Demand, Hop, Member, Query, Shortage};
use mimosashift::link::{Exchange, Failure};
use mimosashift::meter::{Outcome, RefusalReason};
use mimosashift::stream::Events;
use mimosashift::time::Instant;
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::time::timeout;

use self::look::{Faulty, Look};
use self::watch::{Watch, idle};
use super::{End, Job, pass_on};
use crate::body::Answer;
use crate::clock;
use crate::front::{Front, millis};
use crate::probe;

mod look;
mod pump;
mod watch;

/// Pieces that may wait for a slow client before its stream is held back.
const PIECES: usize = 32;

/// Time without a first event after which the chain is examined: several
/// times what reading a prompt takes when nothing fails.
const FIRST_STALL: Duration = Duration::from_millis(500);

/// Sends that certainly did not run, beyond the route's attempts.
const MAX_REJECTED: u32 = 4;

/// Largest answer that is no stream.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// When a client is told to come back if no memory is free: streams end all
/// the time, a few in each of these intervals.
const FULL_RETRY: Duration = Duration::from_millis(300);

/// When a client is told to come back if a layer has no endpoint: small
/// ranges of layers load in about a second.
const UNCOVERED_RETRY: Duration = Duration::from_millis(700);

/// A stream and what has become of it so far.
struct Session {
    job: Job,
    engine: Arc<Engine>,
    demand: Demand,
    claim: Option<Claim>,
    events: Events,
    /// Events passed on.
    passed: usize,
    /// When they came.
    pauses: Pauses,
    /// Sends that may have run.
    may_have_run: u32,
    /// Sends that certainly did not.
    rejected: u32,
    avoid: SmallVec<[Hop; 4]>,
    done: bool,
}

/// What made a stream late, for its log line.
#[derive(Default)]
struct Pauses {
    /// Time to the first event.
    first: Duration,
    /// When the last event came.
    last: Instant,
    /// Longest time between two events.
    longest: Duration,
    /// The event after which that came.
    after: Option<u64>,
}

/// Counts a request as waiting until it is dropped.
struct Waiting<'a>(&'a Front);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.pressure.borrow_mut().end_wait();
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.release();
        if !self.done {
            let front = &self.job.front;
            front.meter.requests(1, Outcome::Cancelled);
            let ms = millis(clock::now().since(self.job.arrived));
            emit!(front.log, Event::RequestCutShort, "request" => &*self.job.id, "ms" => ms, "events" => self.passed);
        }
    }
}

/// Relays a request to a chain and its stream back.
pub async fn relay(job: Job) -> Result<Response<Answer>, End> {
    let engine = job.service.engine.clone().expect("only engines' requests come here");
    let mut session = Session::new(job, engine);
    let mut exchange = match session.open().await {
        Ok(exchange) => exchange,
        Err(end) => {
            session.done = true;
            return Err(end);
        }
    };
    if !exchange.head.status().is_success() {
        session.done = true;
        return session.pass_failure(exchange).await;
    }
    let (sender, pieces) = mpsc::channel(PIECES);
    let response = pass_on(&exchange.head, Answer::Pieces(pieces));
    exchange.head.headers_mut().clear();
    tokio::task::spawn_local(session.pump(exchange, sender));
    Ok(response)
}

impl Session {
    fn new(job: Job, engine: Arc<Engine>) -> Self {
        let usual = engine.usual;
        let demand = match job.tokens {
            None => Demand { prompt: usual.prompt, output: usual.output },
            Some(tokens) => {
                let hint = tokens.output_hint.map_or(usual.output, f64::from);
                let output = hint.min(f64::from(tokens.max_output));
                Demand { prompt: f64::from(tokens.prompt), output }
            }
        };
        let events = Events::after(job.last_event);
        Self {
            job,
            engine,
            demand,
            claim: None,
            events,
            passed: 0,
            pauses: Pauses::default(),
            may_have_run: 0,
            rejected: 0,
            avoid: SmallVec::new(),
            done: false,
        }
    }

    fn front(&self) -> &Rc<Front> {
        &self.job.front
    }

    fn release(&mut self) {
        if let Some(claim) = self.claim.take() {
            self.front().fleet.borrow_mut().release(&claim);
            self.front().released.notify_one();
        }
    }

    /// Opens a stream at one chain after another until one answers.
    async fn open(&mut self) -> Result<Exchange, End> {
        let mut why = "no chain left";
        loop {
            if self.job.left().is_zero() {
                return Err(self.end(StatusCode::GATEWAY_TIMEOUT, "deadline passed", FULL_RETRY));
            }
            let sends = self.may_have_run + self.rejected;
            if sends > 0 {
                let used_up = self.may_have_run > 0 && !self.job.route.is_idempotent();
                let attempts = self.may_have_run >= self.job.route.attempts;
                if used_up || attempts || self.rejected > MAX_REJECTED || !self.take_retry(why) {
                    return Err(self.end(StatusCode::BAD_GATEWAY, why, UNCOVERED_RETRY));
                }
            }
            let chain = self.admit().await?;
            match self.send(chain, sends + 1).await {
                Ok(exchange) => return Ok(exchange),
                Err(reason) => why = reason,
            }
            self.release();
        }
    }

    fn take_retry(&self, why: &str) -> bool {
        let taken = self.front().take_retry(&self.job.service.name);
        if taken {
            let (request, last) = (&*self.job.id, self.events.last());
            emit!(self.front().log, Event::RequestRetried, "request" => request, "attempt" => self.may_have_run + self.rejected + 1, "reason" => why, "after_event" => last);
        }
        taken
    }

    /// The end of a request that gets no answer.
    fn end(&self, status: StatusCode, reason: &'static str, retry: Duration) -> End {
        if self.may_have_run > 0 {
            return End::Failed(status, reason);
        }
        End::Refused(RefusalReason::NoEndpoint, reason, retry)
    }

    /// The chain for the request, once there is memory for it.
    async fn admit(&self) -> Result<Chain, End> {
        let front = self.front();
        let now = clock::now();
        let mut shortage = None;
        if front.pressure.borrow().waiting() == 0 {
            match self.choose() {
                Ok(chain) => return Ok(self.admitted(chain)),
                Err(Shortage::Full(_)) => {}
                Err(uncovered) => shortage = Some(uncovered),
            }
        }
        if shortage.is_none() && front.pressure.borrow_mut().begin_wait(now) {
            let _waiting = Waiting(front);
            match self.wait(now + MAX_WAIT).await {
                Ok(chain) => return Ok(self.admitted(chain)),
                Err(found) => shortage = Some(found),
            }
        }
        Err(self.shortage(&shortage.unwrap_or(Shortage::Full(0))))
    }

    async fn wait(&self, until: Instant) -> Result<Chain, Shortage> {
        loop {
            let released = self.front().released.notified();
            let shortage = match self.choose() {
                Ok(chain) => return Ok(chain),
                Err(shortage) => shortage,
            };
            let left = until.min(self.job.deadline).since(clock::now());
            if matches!(shortage, Shortage::Uncovered(_)) || left.is_zero() {
                return Err(shortage);
            }
            // Whether memory was released or the time passed shows above.
            drop(timeout(left, released).await);
        }
    }

    fn admitted(&self, chain: Chain) -> Chain {
        let front = self.front();
        front.pressure.borrow_mut().record_admitted(clock::now());
        // There may be room for the next one as well.
        front.released.notify_one();
        chain
    }

    fn choose(&self) -> Result<Chain, Shortage> {
        self.chain(&self.demand, None, &self.avoid)
    }

    fn chain(
        &self,
        demand: &Demand,
        first: Option<&Hop>,
        avoid: &[Hop],
    ) -> Result<Chain, Shortage> {
        let zone = self.front().node().zone.clone();
        let query = self.query(&zone, demand, first, avoid);
        self.front().fleet.borrow().chain(&query, clock::now())
    }

    fn query<'a>(
        &'a self,
        zone: &'a str,
        demand: &'a Demand,
        first: Option<&'a Hop>,
        avoid: &'a [Hop],
    ) -> Query<'a> {
        let service = &self.job.service.name;
        Query { service, engine: &self.engine, zone, demand, first, avoid }
    }

    fn log_short(&self, shortage: &Shortage) {
        let zone = self.front().node().zone.clone();
        let query = self.query(&zone, &self.demand, None, &self.avoid);
        let layer = shortage.layer();
        let holders = self.front().fleet.borrow().describe_holders(&query, layer, clock::now());
        let waiting = self.front().pressure.borrow().waiting();
        emit!(self.front().log, Event::LayerShort, "request" => &*self.job.id, "layer" => layer, "holders" => holders, "waiting" => waiting);
    }

    fn shortage(&self, shortage: &Shortage) -> End {
        self.log_short(shortage);
        let mut pressure = self.front().pressure.borrow_mut();
        pressure.record_refused(clock::now());
        let later = pressure.retry_after(self.front().draw());
        let (kind, reason) = match shortage {
            Shortage::Full(_) => (RefusalReason::Shed, "no memory free"),
            Shortage::Uncovered(_) => (RefusalReason::NoEndpoint, "layers without an endpoint"),
        };
        if self.may_have_run > 0 {
            return End::Failed(StatusCode::BAD_GATEWAY, reason);
        }
        End::Refused(kind, reason, later)
    }

    /// Sends the request to a chain; an answer that is no stream of its own is
    /// an error that says why.
    async fn send(&mut self, chain: Chain, attempt: u32) -> Result<Exchange, &'static str> {
        let to: Vec<_> = chain.iter().map(|hop| format!("{}:{}", hop.id, hop.layers)).collect();
        let Demand { prompt, output } = self.demand;
        self.job.log_sent(attempt, &to.join(","), &format!("prompt={prompt} output={output}"));
        let first = chain[0].clone();
        let request = self.job.request(&first, &chain, self.events.last());
        let claim = self.front().fleet.borrow_mut().claim(chain, &self.demand);
        self.claim = Some(claim);
        let pool = self.front().pool.clone();
        let sending = pool.send(first.address, request, false);
        match self.head(sending).await {
            Ok(exchange) => self.judge(&first, exchange),
            Err(Some(Failure::NotSent { reason, .. })) => {
                self.front().doubt(&first.id, &reason);
                self.avoid.push(first);
                self.rejected += 1;
                Err("not sent")
            }
            Err(Some(Failure::Lost { reason })) => {
                self.front().doubt(&first.id, &reason);
                self.front().pool.forget(first.address);
                self.avoid.push(first);
                self.may_have_run += 1;
                Err("answer lost")
            }
            Err(None) => {
                self.may_have_run += 1;
                Err("chain lost")
            }
        }
    }

    /// Waits for the head of an answer and looks after the chain meanwhile;
    /// `Err(None)` when the request must be sent anew.
    async fn head(
        &mut self,
        sending: impl Future<Output = Result<Exchange, Failure>>,
    ) -> Result<Exchange, Option<Failure>> {
        let mut sending = std::pin::pin!(sending);
        let sent = clock::now();
        let mut watch = Watch::new(sent + FIRST_STALL);
        let front = self.front().clone();
        loop {
            tokio::select! {
                result = sending.as_mut() => return result.map_err(Some),
                () = idle(&front) => {}
            }
            let now = clock::now();
            if now >= self.job.deadline {
                return Err(None);
            }
            if watch.is_due(!self.known_faults().is_empty(), now) {
                match self.look(sent).await {
                    Look::Passing => watch.passed(now),
                    Look::Sound | Look::Moved => watch.looked(clock::now()),
                    Look::Lost(_) => return Err(None),
                }
            }
        }
    }

    /// The parts of its chain that are known to be dead or slow.
    fn known_faults(&self) -> Faulty {
        let fleet = self.front().fleet.borrow();
        let mut faulty = Faulty::default();
        for hop in self.claim.iter().flat_map(|claim| &claim.chain) {
            if fleet.is_dead(&hop.id) {
                faulty.dead.push(hop.clone());
            } else if fleet.get(&hop.id).is_some_and(Member::is_slow) {
                faulty.slow.push(hop.clone());
            }
        }
        faulty
    }

    fn judge(&mut self, first: &Hop, exchange: Exchange) -> Result<Exchange, &'static str> {
        let status = exchange.head.status();
        let said = header::answer(exchange.head.headers());
        if !self.job.owns(&said, status) {
            self.front().pool.forget(first.address);
            self.may_have_run += 1;
            return Err("answer to another request");
        }
        if said.not_run || status == StatusCode::MISDIRECTED_REQUEST {
            self.rejected += 1;
            self.blame(first, said.at_fault, status);
            return Err("rejected by an endpoint");
        }
        self.may_have_run += 1;
        if status.is_success() && !said.signed {
            return Err("answer without a signature");
        }
        let again = self.may_have_run < self.job.route.attempts;
        if status.is_server_error() && again && self.job.route.is_idempotent() {
            self.avoid.push(first.clone());
            return Err("endpoint failed");
        }
        Ok(exchange)
    }

    /// Leaves out the endpoint that an answer names, or the first one, and
    /// finds out whether it is dead or only has no memory.
    fn blame(&mut self, first: &Hop, at_fault: Option<std::net::SocketAddr>, status: StatusCode) {
        let chain = self.claim.as_ref().map(|claim| claim.chain.clone()).unwrap_or_default();
        let named = chain.iter().find(|hop| Some(hop.address) == at_fault);
        let hop = named.unwrap_or(first).clone();
        if named.is_some() {
            let front = self.front().clone();
            front.fleet.borrow_mut().record_cache_full(&hop.id, clock::now());
            emit!(front.log, Event::EndpointCrowded, "endpoint" => &*hop.id, "request" => &*self.job.id, "status" => status.as_u16());
            let hop = hop.clone();
            // It takes part in no choice until the finding is there.
            tokio::task::spawn_local(async move { drop(probe::examine(&front, &hop).await) });
        }
        self.avoid.push(hop);
    }

    /// What the request needs from here on.
    fn demand_now(&self) -> Demand {
        let written = self.passed as f64 * f64::from(self.engine.stride);
        let output = (self.demand.output - written).max(f64::from(self.engine.stride));
        Demand { prompt: self.demand.prompt + written, output }
    }

    /// Passes on an answer that is no stream.
    async fn pass_failure(&self, mut exchange: Exchange) -> Result<Response<Answer>, End> {
        let Ok(body) = exchange.collect(MAX_ANSWER_BYTES).await else {
            return Err(End::Failed(StatusCode::BAD_GATEWAY, "answer lost"));
        };
        self.front().meter.requests(1, Outcome::Failed);
        self.job.log_answered(exchange.head.status(), "first of the chain");
        Ok(pass_on(&exchange.head, Answer::Whole(Some(body))))
    }
}

//! Reads the configuration and the endpoint directory from the store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mimosaplatform::store::{Changes, Position, Rows};
use mimosaplatform::{config, endpoint};
use mimosashift::deployment::Endpoint;
use mimosashift::emit;
use mimosashift::event::Event;
use mimosashift::fleet::{self, DirectoryChange, Outage, Read};
use mimosashift::meter::{CallOutcome, PlatformCall};
use mimosashift::peer::{Format, MAX_DIRECTORY_AGE};
use mimosashift::platform::{Outcome, Refusal, Row};
use mimosashift::poll::Schedule;
use mimosashift::time::Instant;
use tokio::task::JoinSet;

use crate::state::{DirectoryRead, RouterState, millis};
use crate::{clock, gossip};

/// Interval of configuration reads: a change is in force well within the bound
/// of two seconds, even if one read is lost.
const CONFIG_INTERVAL: Duration = Duration::from_millis(800);

/// Interval of endpoint reads: about half of the time within which an endpoint
/// that leaves must get no new work.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(900);

/// Interval of the checks whether the peer that reads the store on behalf of
/// this router has the same state.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Age of that peer's confirmation of its configuration up to which it is relied on; longer
/// than the interval of its reads.
const MAX_READER_CONFIG_AGE: Duration = Duration::from_millis(1_500);

/// Number of such checks for which a newer configuration of that peer is waited for before
/// it is read from the store.
const MAX_FETCH_WAITS: usize = 3;

/// Minimum time between two fetches of the directory from peers.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// That time if a peer's entries are the same but reports say something else: usually these
/// are newer, and the entries follow with the next heartbeat.
const CONTRADICTED_FETCH_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time between two reads that requests trigger.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Time without an answer after which the store counts as unavailable.
const STORE_OUTAGE_AFTER: Duration = Duration::from_millis(1_500);

/// Number of heartbeats of an endpoint without which its entry lapses.
const HEARTBEATS_UNTIL_LAPSE: u32 = 3;

/// Keeps the configuration up to date until the router exits.
pub async fn watch_config(state: Rc<RouterState>) {
    let mut position = None;
    let mut last_direct_read = Instant::ZERO;
    // Whether the newest row can be decoded. If not, what is installed is not the newest.
    let mut is_readable = true;
    loop {
        let started = clock::now();
        let next_direct_read =
            last_direct_read + state.peers.borrow().direct_read_interval(started);
        if started < next_direct_read && wait_for_reader(&state).await {
            continue;
        }
        let started = clock::now();
        last_direct_read = started;
        let read = match position {
            None => match state.store.read(config::TABLE).await {
                Outcome::Done(rows) => Outcome::Done(Some(rows)),
                Outcome::NotDone(refusal) => Outcome::NotDone(refusal),
                Outcome::Unknown => Outcome::Unknown,
            },
            Some(after) => match state.store.changes(config::TABLE, after).await {
                Outcome::Done(Changes::Since(rows)) => Outcome::Done(Some(rows)),
                Outcome::Done(Changes::HistoryExpired) => Outcome::Done(None),
                Outcome::NotDone(refusal) => Outcome::NotDone(refusal),
                Outcome::Unknown => Outcome::Unknown,
            },
        };
        record_store_call(&state, PlatformCall::Read, started, &read);
        match read {
            Outcome::Done(Some(rows)) => {
                position = Some(rows.position);
                is_readable = apply_config(&state, &rows).unwrap_or(is_readable);
                if is_readable && state.active_config.borrow().is_some() {
                    state.confirm(started);
                }
            }
            Outcome::Done(None) => {
                // The store has truncated its change history, or come back from a
                // copy: read the whole table.
                position = None;
                continue;
            }
            Outcome::NotDone(_) | Outcome::Unknown => {
                // Requests cannot shorten this: peers confirm the configuration, or
                // nobody does.
                tokio::time::sleep(store_retry_interval(&state)).await;
                continue;
            }
        }
        tokio::time::sleep(MIN_REFRESH_INTERVAL).await;
        let remaining = tokio::time::sleep(CONFIG_INTERVAL.saturating_sub(MIN_REFRESH_INTERVAL));
        tokio::select! {
            () = remaining => {}
            () = state.config_refresh.notified() => {}
        }
    }
}

/// Waits while the peer that reads the store on behalf of this router has the same
/// configuration, so that its digests confirm it, or a newer one, which is fetched from it.
/// Returns false if this router has to read the store itself.
async fn wait_for_reader(state: &RouterState) -> bool {
    for _ in 0..MAX_FETCH_WAITS {
        let Some(revision) = reader_revision(state) else { return false };
        if revision < state.revision() {
            return false;
        }
        let is_same = revision == state.revision();
        tokio::select! {
            () = tokio::time::sleep(READER_CHECK_INTERVAL) => {}
            () = state.config_refresh.notified() => return false,
        }
        if is_same {
            return true;
        }
    }
    false
}

/// Configuration of the peer that reads the store on behalf of this router, if that peer has
/// lately found it to be the newest.
fn reader_revision(state: &RouterState) -> Option<u64> {
    let peers = state.peers.borrow();
    let now = clock::now();
    let reader = peers.store_reader(&state.node().name, now)?;
    let is_confirmed = reader.config_age(now).is_some_and(|age| age < MAX_READER_CONFIG_AGE);
    reader.digest.config.filter(|_| is_confirmed).map(|config| config.revision)
}

fn store_retry_interval(state: &RouterState) -> Duration {
    let random = state.random_fraction();
    state.peers.borrow().store_retry_interval(random, clock::now())
}

/// Installs the configuration in changed rows; returns whether it can be decoded, or `None`
/// if they hold none.
fn apply_config(state: &RouterState, rows: &Rows) -> Option<bool> {
    let row = rows.rows.iter().rev().find(|row| row.key.key == config::KEY)?;
    match config::decode(&row.value) {
        Ok(deployment) => {
            state.install(deployment, &row.value, "store");
            Some(true)
        }
        Err(error) => {
            let error = error.to_string();
            emit!(state.log, Event::ConfigUnreadable, "revision" => row.revision, "error" => error);
            Some(false)
        }
    }
}

/// Keeps the endpoint directory up to date until the router exits.
pub async fn watch_endpoints(state: Rc<RouterState>) {
    let mut watch = EndpointWatch::default();
    loop {
        let now = clock::now();
        if (watch.must_read(&state, now) || !watch.follow(&state, now).await)
            && watch.schedule.is_due(clock::now())
        {
            watch.begin_read(&state);
        }
        watch.wait(&state).await;
    }
}

/// State of the watch of the endpoint directory.
#[derive(Default)]
struct EndpointWatch {
    /// When the directory was last read from the store, or should have been.
    last_direct_read: Instant,
    /// Times of the reads from the store.
    schedule: Schedule,
    /// Reads from the store that have no answer yet, with their begin.
    reads: JoinSet<(Instant, Outcome<Rows>)>,
    /// When the directory was last fetched from a peer.
    last_fetch: Instant,
    unavailable_since: Option<Instant>,
    /// The latest outage of the store, or what may have been one.
    outage: Option<Outage>,
    /// Revisions of invalid entries that have been logged.
    logged_invalid: HashMap<String, u64>,
}

impl EndpointWatch {
    /// Whether this router has to read the store itself, whatever its peers have read.
    fn must_read(&self, state: &RouterState, now: Instant) -> bool {
        let interval = state.peers.borrow().direct_read_interval(now);
        now >= self.last_direct_read + interval || self.is_outage_over(state, now)
    }

    /// Whether the time to register again has ended since the last read, and endpoints are
    /// still kept without an entry. Peers would tell of their reads too late, but are relied
    /// on if this router does not reach the store.
    fn is_outage_over(&self, state: &RouterState, now: Instant) -> bool {
        let is_over = self.outage.is_some_and(|outage| {
            now >= outage.registered_until() && self.last_direct_read < outage.registered_until()
        });
        is_over && state.fleet.borrow().keeps_missing()
    }

    /// Takes answers until the next check whether to read. An answer puts the check off: a
    /// peer's directory is older than what has just been read, and to fetch it now would delay
    /// the fetch of its next one.
    async fn wait(&mut self, state: &Rc<RouterState>) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(self.pause(clock::now())) => return,
                Some(read) = self.reads.join_next() => {
                    let (began, read) = read.expect("reads are not cancelled and do not panic");
                    self.end_read(state, began, read);
                }
                () = state.directory_refresh.notified() => self.begin_read(state),
            }
        }
    }

    /// Time until the next check whether to read.
    fn pause(&self, now: Instant) -> Duration {
        let outage_ends = self.outage.map(Outage::registered_until);
        let times = [Some(self.schedule.next()), outage_ends];
        let until = |time: Instant| time.since(now);
        let pauses = times.into_iter().flatten().map(until).filter(|pause| !pause.is_zero());
        pauses.min().unwrap_or(READER_CHECK_INTERVAL).min(READER_CHECK_INTERVAL)
    }

    /// Begins to read the directory from the store.
    fn begin_read(&mut self, state: &Rc<RouterState>) {
        let began = clock::now();
        self.last_direct_read = began;
        self.schedule.begin(began, store_retry_interval(state));
        let state = state.clone();
        self.reads.spawn_local(async move { (began, state.store.read(endpoint::TABLE).await) });
    }

    /// Takes the result of a read that began at `began`.
    fn end_read(&mut self, state: &RouterState, began: Instant, read: Outcome<Rows>) {
        record_store_call(state, PlatformCall::Scan, began, &read);
        let now = clock::now();
        match read {
            Outcome::Done(rows) => {
                if self.schedule.succeed(began, now, DIRECTORY_INTERVAL) {
                    self.end_outage(state, now);
                    self.note_restore(state, rows.position, now);
                    self.apply(state, rows.rows.into(), rows.position, began);
                }
            }
            Outcome::NotDone(_) | Outcome::Unknown => {
                if self.schedule.fail(began, now, store_retry_interval(state)) {
                    let known_at = state.directory_read_at().unwrap_or(began);
                    self.unavailable_since.get_or_insert(known_at);
                }
            }
        }
    }

    /// Whether a peer that reads the store keeps the directory of this router up to date;
    /// what has changed is fetched from it.
    async fn follow(&mut self, state: &Rc<RouterState>, now: Instant) -> bool {
        let source = {
            let (peers, node) = (state.peers.borrow(), state.node());
            peers.directory_source(&node.name, state.store_lost.get(), now).and_then(|peer| {
                let read_at = now - peer.directory_age(now)?;
                Some((peer.address, peer.digest.format, peer.digest.directory?, read_at))
            })
        };
        let Some((address, format, directory, read_at)) = source else { return false };
        if now.since(read_at) >= MAX_DIRECTORY_AGE {
            return false;
        }
        if has_fingerprint(state, directory.fingerprint) {
            self.end_outage(state, now);
            self.confirm(state, read_at);
            let is_due = now >= self.last_fetch + CONTRADICTED_FETCH_INTERVAL;
            if format == Format::Parts && is_due && is_contradicted(state) {
                // Without an answer the entries are still those of the last read.
                self.fetch(state, address, now).await;
            }
            return true;
        }
        if format != Format::Parts {
            return false;
        }
        now < self.last_fetch + FETCH_INTERVAL || self.fetch(state, address, now).await
    }

    /// Takes the directory from a peer; returns false if it has none that this router can use.
    async fn fetch(&mut self, state: &Rc<RouterState>, address: SocketAddr, now: Instant) -> bool {
        self.last_fetch = now;
        let Some(fetched) = gossip::fetch_directory(state, address).await else { return false };
        let (era, revision) = fetched.position;
        let position = Position { era, revision };
        // Only the store can tell more than what this router has read itself, and more than
        // a peer that has taken its rows from another one.
        let known = state.directory.borrow().as_ref().map(|known| known.position);
        if known.is_some_and(|known| position < known) || fetched.age >= MAX_DIRECTORY_AGE {
            return false;
        }
        let read_at = now - fetched.age;
        let now = clock::now();
        self.end_outage(state, now);
        self.note_restore(state, position, now);
        let of_peer = Outage::of_peer(fetched.keep_missing, entry_lifetime(state), now);
        // The peer may have noticed the return of the store earlier than this router.
        let own = self.outage.filter(|outage| read_at < outage.registered_until());
        self.outage = own.into_iter().chain(of_peer).reduce(Outage::merge);
        self.apply(state, fetched.rows.into(), position, read_at);
        true
    }

    /// Applies the directory as it was at `read_at`.
    fn apply(
        &mut self,
        state: &RouterState,
        rows: Rc<[Row]>,
        position: Position,
        read_at: Instant,
    ) {
        let entries = self.decode(state, &rows);
        let outage = self.outage;
        let (read, now) = (Read { began: read_at, outage }, clock::now());
        let change = state.fleet.borrow_mut().apply_directory(entries.to_vec(), read, now);
        log_change(state, &change, outage);
        if let Some(outage) = outage.filter(|_| state.fleet.borrow().keeps_missing()) {
            self.schedule.bring_forward(outage.registered_until());
        }
        let fingerprint = fleet::fingerprint(&entries);
        let read = DirectoryRead { position, read_at, rows, entries, fingerprint, outage };
        *state.directory.borrow_mut() = Some(read);
        state.directory_read.notify_waiters();
    }

    /// Applies that a peer's directory that was read at `read_at` has the known entries.
    fn confirm(&self, state: &RouterState, read_at: Instant) {
        let mut directory = state.directory.borrow_mut();
        let Some(known) = directory.as_mut().filter(|known| read_at > known.read_at) else {
            return;
        };
        (known.read_at, known.outage) = (read_at, self.outage);
        let read = Read { began: read_at, outage: self.outage };
        let change = state.fleet.borrow_mut().confirm_directory(read, clock::now());
        log_change(state, &change, self.outage);
    }

    /// Ends an outage of the store, if there is one: after a long one endpoints register again.
    fn end_outage(&mut self, state: &RouterState, now: Instant) {
        let outage = self.unavailable_since.take();
        if outage.is_some_and(|since| now.since(since) >= STORE_OUTAGE_AFTER) {
            self.outage = Some(Outage::ending(now, entry_lifetime(state)));
        }
    }

    /// Takes it for an outage if the store has come back from a copy of itself, in which
    /// entries may be missing whenever they were written.
    fn note_restore(&mut self, state: &RouterState, position: Position, now: Instant) {
        let directory = state.directory.borrow();
        if directory.as_ref().is_some_and(|known| known.position.era < position.era) {
            self.outage = Some(Outage::ending(now, Duration::ZERO));
        }
    }

    /// The endpoints that rows list; each version of a row that lists none is logged once.
    fn decode(&mut self, state: &RouterState, rows: &[Row]) -> Rc<[Endpoint]> {
        let mut entries = Vec::with_capacity(rows.len());
        let logged = &mut self.logged_invalid;
        for row in rows {
            match endpoint::decode(&row.key.key, &row.value) {
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    if logged.insert(row.key.key.clone(), row.revision) != Some(row.revision) {
                        let (id, error) = (&row.key.key, error.to_string());
                        emit!(state.log, Event::EndpointUnreadable, "endpoint" => id, "revision" => row.revision, "error" => error);
                    }
                }
            }
        }
        logged.retain(|id, _| rows.iter().any(|row| row.key.key == *id));
        entries.into()
    }
}

/// Time without a heartbeat after which the entry of an endpoint lapses.
fn entry_lifetime(state: &RouterState) -> Duration {
    state.node().heartbeat * HEARTBEATS_UNTIL_LAPSE
}

/// Whether the known entries have this hash.
fn has_fingerprint(state: &RouterState, fingerprint: u64) -> bool {
    let directory = state.directory.borrow();
    directory.as_ref().is_some_and(|known| known.fingerprint == fingerprint)
}

/// Whether reports contradict the known directory.
fn is_contradicted(state: &RouterState) -> bool {
    let directory = state.directory.borrow();
    directory.as_ref().is_some_and(|known| state.fleet.borrow().contradicts(&known.entries))
}

/// Logs what a read of the directory has changed.
fn log_change(state: &RouterState, change: &DirectoryChange, outage: Option<Outage>) {
    let fleet = state.fleet.borrow();
    for id in &change.joined {
        let endpoint = fleet.get(id).map(|member| &member.endpoint);
        let Some(e) = endpoint else { continue };
        let (address, layers) = (e.address.to_string(), e.layers.map(|layers| layers.to_string()));
        emit!(state.log, Event::EndpointJoined, "endpoint" => &**id, "service" => &*e.service, "zone" => &*e.zone, "address" => address, "incarnation" => e.incarnation, "layers" => layers);
    }
    for id in &change.layers_changed {
        let layers = fleet.get(id).and_then(|member| member.endpoint.layers);
        emit!(state.log, Event::EndpointLayersChanged, "endpoint" => &**id, "source" => "store", "layers" => layers.map(|layers| layers.to_string()));
    }
    for id in &change.changed {
        let Some(e) = fleet.get(id).map(|member| &member.endpoint) else { continue };
        emit!(state.log, Event::EndpointChanged, "endpoint" => &**id, "service" => &*e.service, "zone" => &*e.zone, "address" => e.address.to_string(), "slots" => e.slots, "card" => e.card.as_deref());
    }
    for id in &change.leaving {
        emit!(state.log, Event::EndpointLeaving, "endpoint" => &**id, "source" => "store");
    }
    for id in &change.kept {
        let until = outage.map(Outage::registered_until);
        let keep_ms = until.map(|until| millis(until.since(clock::now())));
        emit!(state.log, Event::EndpointKept, "endpoint" => &**id, "keep_ms" => keep_ms);
    }
    for id in &change.gone {
        emit!(state.log, Event::EndpointGone, "endpoint" => &**id);
    }
}

/// Counts a call to the store and logs when the store becomes unreachable or
/// reachable again. A call that ends in neither success nor conflict counts as a
/// failure, which tells nothing of a store that has answered since the call began.
pub fn record_store_call<T>(
    state: &RouterState,
    call: PlatformCall,
    began: Instant,
    outcome: &Outcome<T>,
) {
    let now = clock::now();
    let label = match outcome {
        Outcome::Done(_) => CallOutcome::Done,
        Outcome::NotDone(Refusal::Conflict(_)) => CallOutcome::Conflict,
        Outcome::NotDone(Refusal::Unavailable) => CallOutcome::Unavailable,
        Outcome::NotDone(Refusal::OverBudget) => CallOutcome::OverBudget,
        Outcome::NotDone(Refusal::Invalid(_)) => CallOutcome::Invalid,
        Outcome::Unknown => CallOutcome::Unknown,
    };
    state.meter.table_calls(1, call, label);
    let is_success = matches!(label, CallOutcome::Done | CallOutcome::Conflict);
    let last_answer = state.last_store_answer.get();
    if is_success {
        if state.store_lost.replace(false) {
            let outage_ms = last_answer.map(|at| millis(now.since(at)));
            emit!(state.log, Event::StoreAvailable, "away_ms" => outage_ms);
        }
        state.last_store_answer.set(Some(now));
    } else if last_answer.is_none_or(|at| at <= began) && !state.store_lost.replace(true) {
        let reason = match outcome {
            Outcome::NotDone(refusal) => format!("{refusal:?}"),
            _ => "no answer".to_owned(),
        };
        emit!(state.log, Event::StoreUnavailable, "reason" => reason);
    }
}

//! Spreads accepted changes to every router.
//!
//! One router of each failure domain polls the table; records go on to its
//! peers, and whoever hears of a higher revision pulls it.

use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use sha2::{Digest, Sha256};

use super::catchup::Progress;
use super::transfer::{Chunk, Received, Reply, Request, Sink, Source};
use super::{Error, Record, State, Store, Version};
use crate::resource::Name;
use crate::time::Instant;

/// Time between two reads of the table's head by the polling router.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Additional intervals of silence before the next router in line polls.
const INTERVALS_PER_RANK: u32 = 4;

/// Most jitter of a poll, as a share of its interval.
const JITTER_DIVISOR: u32 = 4;

/// Time for which a starting router waits for its peers before it polls.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(1_500);

/// Time after which an unanswered or failed pull is repeated.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Most records pushed at once; whoever lacks more pulls.
const MAX_PUSH_RECORDS: usize = 64;

/// Another live router as membership sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Its name.
    pub node: Name,
    /// Whether it is in the same failure domain.
    pub same_domain: bool,
    /// What it has installed.
    pub version: Version,
    /// When it last read the table's head.
    pub polled: Option<Instant>,
}

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run a [`Poll`](super::poll::Poll) from this state and hand its result
    /// to [`Replicator::on_poll`].
    Poll(State),
    /// Send a request to a peer.
    Pull(Name, Request),
    /// Send records to a peer.
    Push(Name, Vec<Record>),
    /// Tell the operators.
    Alarm(Error),
}

/// The configuration of one router and its exchange with others.
#[derive(Debug)]
pub struct Replicator {
    node: Name,
    store: Store,
    source: Source,
    pull: Option<Pull>,
    /// When any router of the domain last read the table's head.
    domain_polled: Option<Instant>,
    /// When this router did.
    polled: Option<Instant>,
    /// Earliest time of the next poll, `None` before the first tick.
    next_poll: Option<Instant>,
    polling: bool,
    /// Polls that have ended, whether or not the table answered.
    polls: u64,
    /// The last alarm, so that it is raised once.
    alarm: Option<Error>,
}

/// A pull in progress or waiting to be repeated.
#[derive(Debug)]
struct Pull {
    peer: Name,
    deadline: Instant,
    sink: Sink,
}

impl Replicator {
    /// Starts with nothing installed.
    pub fn new(node: Name) -> Self {
        Self {
            node,
            store: Store::default(),
            source: Source::default(),
            pull: None,
            domain_polled: None,
            polled: None,
            next_poll: None,
            polling: false,
            polls: 0,
            alarm: None,
        }
    }

    /// What is installed, and its recent records.
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// When this router last read the table's head.
    pub const fn polled(&self) -> Option<Instant> {
        self.polled
    }

    /// Polls that have ended, whether or not the table answered.
    pub const fn polls(&self) -> u64 {
        self.polls
    }

    /// Answers a peer's request.
    pub fn answer(&self, request: &Request) -> Reply {
        self.source.answer(&self.store, request)
    }

    /// Decides whether to poll or pull now.
    pub fn tick(&mut self, now: Instant, peers: &[Peer], rng: &mut Pcg64Mcg) -> Vec<Action> {
        let mut actions = Vec::new();
        for peer in peers {
            actions.extend(self.hear(peer));
        }
        if self.pull.as_ref().is_some_and(|pull| pull.deadline <= now) {
            self.pull = None;
        }
        actions.extend(self.pull_if_behind(now, peers, rng));
        actions.extend(self.poll_if_due(now, peers, rng));
        actions
    }

    /// Takes in the result of a poll.
    pub fn on_poll(
        &mut self,
        now: Instant,
        result: Result<Progress, Error>,
        peers: &[Peer],
    ) -> Vec<Action> {
        self.polling = false;
        self.polls += 1;
        match result {
            Ok(progress) => {
                self.polled = Some(now);
                self.domain_polled = Some(now);
                self.install_progress(&progress, peers)
            }
            // Told by the health of the platform, not of the configuration.
            Err(Error::Platform(_)) => Vec::new(),
            Err(error) => self.raise(error).into_iter().collect(),
        }
    }

    /// Takes in what this router has committed or read itself.
    pub fn install_progress(&mut self, progress: &Progress, peers: &[Peer]) -> Vec<Action> {
        let before = self.store.version();
        let records = self.store.install_records(&progress.records);
        let result = records.and_then(|_| self.store.install(progress.state.clone()));
        let mut actions: Vec<_> = result.err().and_then(|e| self.raise(e)).into_iter().collect();
        if self.store.version() != before {
            self.source.keep(self.store.state().clone());
            actions.extend(push(&progress.records, peers));
        }
        actions
    }

    /// Takes in a reply or pushed records of a peer.
    pub fn on_reply(&mut self, now: Instant, peer: &Name, reply: Reply) -> Vec<Action> {
        match reply {
            Reply::Records(records) => self.on_records(peer, &records).into_iter().collect(),
            Reply::Chunk(chunk) => self.on_chunk(now, peer, chunk).into_iter().collect(),
        }
    }

    fn hear(&mut self, peer: &Peer) -> Option<Action> {
        if peer.same_domain {
            self.domain_polled = self.domain_polled.max(peer.polled);
        }
        let own = self.store.version();
        let split = peer.version.revision == own.revision && peer.version != own;
        if split { self.raise(Error::Diverged(own.revision)) } else { None }
    }

    fn pull_if_behind(
        &mut self,
        now: Instant,
        peers: &[Peer],
        rng: &mut Pcg64Mcg,
    ) -> Option<Action> {
        let have = self.store.version();
        let ahead = |same_domain: bool| -> Vec<&Peer> {
            let ahead =
                |p: &&Peer| p.version.revision > have.revision && p.same_domain == same_domain;
            peers.iter().filter(ahead).collect()
        };
        let mut choice = ahead(true);
        if choice.is_empty() {
            choice = ahead(false);
        }
        if self.pull.is_some() || choice.is_empty() {
            return None;
        }
        let peer = choice[rng.random_range(0..choice.len())].node.clone();
        let deadline = now + PULL_TIMEOUT;
        self.pull = Some(Pull { peer: peer.clone(), deadline, sink: Sink::default() });
        Some(Action::Pull(peer, Request { have, part: None }))
    }

    fn poll_if_due(&mut self, now: Instant, peers: &[Peer], rng: &mut Pcg64Mcg) -> Option<Action> {
        let next = *self.next_poll.get_or_insert(now + FIRST_POLL_DELAY);
        // A snapshot from a peer spares the table a full load.
        let loading = self.store.version().revision == 0 && self.pull.is_some();
        if self.polling || loading || now < next {
            return None;
        }
        let wait = POLL_INTERVAL * (1 + INTERVALS_PER_RANK * self.rank(peers));
        let fresh = self.domain_polled.is_some_and(|polled| now.since(polled) < wait);
        if fresh && self.polls > 0 {
            return None;
        }
        let most_jitter = (POLL_INTERVAL / JITTER_DIVISOR).as_micros();
        let jitter = rng.random_range(0..u64::try_from(most_jitter).unwrap_or(u64::MAX));
        self.next_poll = Some(now + wait + Duration::from_micros(jitter));
        self.polling = true;
        Some(Action::Poll(self.store.state().clone()))
    }

    /// Place of this router among those of its domain, by rendezvous hash.
    fn rank(&self, peers: &[Peer]) -> u32 {
        let own = rendezvous(&self.node);
        let before = peers.iter().filter(|peer| peer.same_domain && rendezvous(&peer.node) > own);
        u32::try_from(before.count()).expect("there are fewer routers than 2^32")
    }

    fn on_records(&mut self, peer: &Name, records: &[Record]) -> Option<Action> {
        let result = self.store.install_records(records);
        if self.store.state().version().revision > 0 {
            self.source.keep(self.store.state().clone());
        }
        match result {
            Ok(_) => {
                self.end_pull(peer);
                None
            }
            // Pulled from what is installed once this pull has timed out.
            Err(Error::Gap { .. }) => None,
            Err(error) => self.raise(error),
        }
    }

    fn on_chunk(&mut self, now: Instant, peer: &Name, chunk: Chunk) -> Option<Action> {
        let pull = self.pull.as_mut().filter(|pull| pull.peer == *peer)?;
        let result = match pull.sink.take_in(chunk) {
            Ok(Received::Partial(part)) => {
                pull.deadline = now + PULL_TIMEOUT;
                let request = Request { have: self.store.version(), part: Some(part) };
                return Some(Action::Pull(peer.clone(), request));
            }
            Ok(Received::Complete(state)) => self.store.install(state),
            Err(error) => Err(error),
        };
        match result {
            Ok(installed) => {
                if installed {
                    self.source.keep(self.store.state().clone());
                }
                self.end_pull(peer);
                None
            }
            Err(error) => self.raise(error),
        }
    }

    fn end_pull(&mut self, peer: &Name) {
        if self.pull.as_ref().is_some_and(|pull| pull.peer == *peer) {
            self.pull = None;
        }
    }

    fn raise(&mut self, error: Error) -> Option<Action> {
        if self.alarm.as_ref() == Some(&error) {
            return None;
        }
        self.alarm = Some(error.clone());
        Some(Action::Alarm(error))
    }
}

fn push(records: &[Record], peers: &[Peer]) -> Vec<Action> {
    if records.is_empty() || records.len() > MAX_PUSH_RECORDS {
        return Vec::new();
    }
    let near = peers.iter().filter(|peer| peer.same_domain);
    near.map(|peer| Action::Push(peer.node.clone(), records.to_vec())).collect()
}

/// Weight of a router for polling; the highest of a domain polls.
fn rendezvous(node: &Name) -> [u8; 32] {
    Sha256::new().chain_update("poll/").chain_update(node.as_str()).finalize().into()
}

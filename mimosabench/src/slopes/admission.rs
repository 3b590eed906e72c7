//! Cost of admission and team limits.

use std::time::Duration;

use mimosashift::admit::share::{self, Report};
use mimosashift::admit::{Action, Admission, Bounds, Request, Usage};
use mimosashift::resource::{Name, Team};
use mimosashift::time::Instant;
use mimosashift::wire::Message;
use mimosashift::wire::message::Payload;

use super::series::series;
use super::{Series, cpu, fleet, memory};

const ROLE: &str = "admission";
const TEAMS: [usize; 5] = [100, 1_000, 4_000, 12_000, 31_000];
const REPORTED: [usize; 4] = [2_000, 8_000, 20_000, 65_000];
const PEERS: [usize; 4] = [3, 33, 100, 369];
/// Number of other routers in a failure domain.
const DOMAIN_PEERS: usize = 33;

const NOW: Instant = Instant::from_millis(1_000);

/// Measures time and memory by active teams, and the size of demand reports.
pub fn measure() -> Vec<Series> {
    vec![
        series([ROLE, "request, admitted to released", "µs", "active teams"], &TEAMS, |teams| {
            let mut loaded = LoadedAdmission::new(teams);
            let mut next = 0;
            cpu::micros_per_call(|| {
                loaded.request(next % teams);
                next += 1;
            })
        }),
        series([ROLE, "state", "bytes", "active teams"], &TEAMS, state_bytes),
        series([ROLE, "report made", "µs", "active teams"], &TEAMS, |teams| {
            let mut loaded = LoadedAdmission::new(teams);
            loaded.submit_each();
            cpu::micros_per_call(|| loaded.admission.report(loaded.now, 33))
        }),
        series([ROLE, "demand of peers", "bytes", "reported teams"], &REPORTED, |teams| {
            memory::retained(|| with_peer_demand(teams)).1
        }),
        series([ROLE, "report made beside them", "µs", "reported teams"], &REPORTED, |teams| {
            let mut admission = with_peer_demand(teams);
            cpu::micros_per_call(|| admission.report(NOW, 33))
        }),
        series([ROLE, "reports to all peers", "bytes/s", "peers"], &PEERS, report_bytes_per_second),
        series(
            [ROLE, "reports to all peers, datagrams sent", "bytes/s", "peers"],
            &PEERS,
            sent_bytes_per_second,
        ),
    ]
}

/// Memory retained when every team has sent a request to this router and to one
/// peer.
pub fn state_bytes(teams: usize) -> f64 {
    let names = names(teams);
    let held = || {
        let mut loaded = LoadedAdmission::empty();
        for name in &names {
            loaded.submit(name);
        }
        loaded
    };
    let (mut loaded, own) = memory::retained(held);
    let peer = fleet::name("router-2");
    let merged = || {
        loop {
            let report = loaded.admission.report(NOW, 0);
            if report.entries.is_empty() {
                return;
            }
            loaded.admission.merge(NOW, &peer, &report);
        }
    };
    own + memory::retained(merged).1
}

/// Admission state with demand reports of `teams` teams merged from the other
/// routers of a failure domain.
pub fn with_peer_demand(teams: usize) -> Admission {
    let mut loaded = LoadedAdmission::new(teams);
    let mut receiver = LoadedAdmission::empty().admission;
    loaded.submit_at_once();
    for peer in (0..DOMAIN_PEERS).map(|peer| fleet::name(&format!("router-{peer}"))).cycle() {
        let report = loaded.admission.report(NOW, 0);
        if report.entries.is_empty() {
            return receiver;
        }
        receiver.merge(NOW, &peer, &report);
    }
    receiver
}

/// Bytes per second of demand reports to `peers` routers with 4,000 active
/// teams, without framing.
pub fn report_bytes_per_second(peers: usize) -> f64 {
    encode(&many_team_report(peers)).len() as f64 * reports_per_second() * peers as f64
}

/// Bytes per second that these reports use on the network, in the sending
/// direction only.
pub fn sent_bytes_per_second(peers: usize) -> f64 {
    let payload = Payload { tag: 2, bytes: encode(&many_team_report(peers)) };
    let bytes = super::membership::datagram_bytes(Message::Reports(vec![payload]));
    bytes as f64 * reports_per_second() * peers as f64
}

fn many_team_report(peers: usize) -> Report {
    let mut loaded = LoadedAdmission::new(4_000);
    loaded.submit_each();
    loaded.admission.report(loaded.now, peers)
}

fn encode(report: &Report) -> Vec<u8> {
    postcard::to_stdvec(report).expect("demand reports are serializable")
}

fn reports_per_second() -> f64 {
    1.0 / share::REPORT_INTERVAL.as_secs_f64()
}

/// Admission state with a synthetic load of teams.
struct LoadedAdmission {
    admission: Admission,
    team: Team,
    names: Vec<Name>,
    out: Vec<Action>,
    now: Instant,
    /// Interval between two requests.
    interval: Duration,
}

impl LoadedAdmission {
    fn empty() -> Self {
        let bounds = Bounds { queued: 256, queued_bytes: 8 << 20, start_slots: 64, max_slots: 256 };
        let team = Team {
            priority: fleet::name("standard"),
            token_digests: Vec::new(),
            operator: false,
            weight: 1,
            requests_per_second: 0,
            tokens_per_second: 1_000_000_000,
        };
        Self {
            admission: Admission::new(bounds),
            team,
            names: Vec::new(),
            out: Vec::new(),
            now: NOW,
            interval: Duration::ZERO,
        }
    }

    fn new(teams: usize) -> Self {
        let interval = Duration::from_secs(1) / teams as u32;
        Self { names: names(teams), interval, ..Self::empty() }
    }

    /// Submits one request per team at the same time.
    fn submit_at_once(&mut self) {
        let names = std::mem::take(&mut self.names);
        self.interval = Duration::ZERO;
        names.iter().for_each(|name| self.submit(name));
    }

    fn submit_each(&mut self) {
        (0..self.names.len()).for_each(|team| self.request(team));
    }

    fn request(&mut self, team: usize) {
        let name = self.names[team].clone();
        self.submit(&name);
    }

    /// Submits a request that is admitted immediately and released.
    fn submit(&mut self, name: &Name) {
        self.now = self.now + self.interval;
        let now = self.now;
        let request = Request {
            name,
            team: &self.team,
            level: 1,
            cost: 256,
            bytes: 4_096,
            deadline: now + Duration::from_secs(60),
            service: Duration::from_secs(7),
        };
        let ticket = self.admission.submit(now, &request, &mut self.out);
        let usage = Usage { tokens: 256, overloaded: false };
        self.admission.release(now, ticket, usage, &mut self.out);
        self.out.clear();
    }
}

fn names(teams: usize) -> Vec<Name> {
    (0..teams).map(|team| fleet::name(&format!("team-{team:05}"))).collect()
}

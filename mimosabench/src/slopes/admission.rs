//! Admission and team limits.

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
/// Other routers of a failure domain.
const NEAR_PEERS: usize = 33;

const NOW: Instant = Instant::from_millis(1_000);

/// Time and memory by active teams, and the size of reports.
pub fn measure() -> Vec<Series> {
    vec![
        series([ROLE, "request, admitted to released", "µs", "active teams"], &TEAMS, |teams| {
            let mut busy = Busy::new(teams);
            let mut next = 0;
            cpu::micros_per_call(|| {
                busy.request(next % teams);
                next += 1;
            })
        }),
        series([ROLE, "state", "bytes", "active teams"], &TEAMS, state_bytes),
        series([ROLE, "report made", "µs", "active teams"], &TEAMS, |teams| {
            let mut busy = Busy::new(teams);
            busy.all();
            cpu::micros_per_call(|| busy.admission.report(busy.now, 33))
        }),
        series([ROLE, "demand of peers", "bytes", "reported teams"], &REPORTED, |teams| {
            memory::retained(|| heard(teams)).1
        }),
        series([ROLE, "report made beside them", "µs", "reported teams"], &REPORTED, |teams| {
            let mut admission = heard(teams);
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

/// Bytes held when every team has sent a request to this router and to one
/// peer.
pub fn state_bytes(teams: usize) -> f64 {
    let names = names(teams);
    let held = || {
        let mut busy = Busy::empty();
        for name in &names {
            busy.submit(name);
        }
        busy
    };
    let (mut busy, own) = memory::retained(held);
    let peer = fleet::name("router-2");
    let merged = || {
        loop {
            let report = busy.admission.report(NOW, 0);
            if report.entries.is_empty() {
                return;
            }
            busy.admission.merge(NOW, &peer, &report);
        }
    };
    own + memory::retained(merged).1
}

/// An admission that has heard of so many teams from a domain's other routers.
pub fn heard(teams: usize) -> Admission {
    let mut busy = Busy::new(teams);
    let mut heard = Busy::empty().admission;
    busy.submit_at_once();
    for peer in (0..NEAR_PEERS).map(|peer| fleet::name(&format!("router-{peer}"))).cycle() {
        let report = busy.admission.report(NOW, 0);
        if report.entries.is_empty() {
            return heard;
        }
        heard.merge(NOW, &peer, &report);
    }
    heard
}

/// Bytes a second of reports to all of `peers` routers in a crowd, without
/// the frames around them.
pub fn report_bytes_per_second(peers: usize) -> f64 {
    encode(&crowd_report(peers)).len() as f64 * reports_per_second() * peers as f64
}

/// Bytes a second that these reports take on the network, sent only.
pub fn sent_bytes_per_second(peers: usize) -> f64 {
    let payload = Payload { tag: 2, bytes: encode(&crowd_report(peers)) };
    let bytes = super::membership::datagram_bytes(Message::Reports(vec![payload]));
    bytes as f64 * reports_per_second() * peers as f64
}

fn crowd_report(peers: usize) -> Report {
    let mut busy = Busy::new(4_000);
    busy.all();
    busy.admission.report(busy.now, peers)
}

fn encode(report: &Report) -> Vec<u8> {
    postcard::to_stdvec(report).expect("a report can be encoded")
}

fn reports_per_second() -> f64 {
    1.0 / share::REPORT_INTERVAL.as_secs_f64()
}

/// An admission and the teams that use it.
struct Busy {
    admission: Admission,
    team: Team,
    names: Vec<Name>,
    out: Vec<Action>,
    now: Instant,
    /// Time between two requests.
    pause: Duration,
}

impl Busy {
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
            pause: Duration::ZERO,
        }
    }

    fn new(teams: usize) -> Self {
        let pause = Duration::from_secs(1) / teams as u32;
        Self { names: names(teams), pause, ..Self::empty() }
    }

    /// A request of each team at the same moment.
    fn submit_at_once(&mut self) {
        let names = std::mem::take(&mut self.names);
        self.pause = Duration::ZERO;
        names.iter().for_each(|name| self.submit(name));
    }

    fn all(&mut self) {
        (0..self.names.len()).for_each(|team| self.request(team));
    }

    fn request(&mut self, team: usize) {
        let name = self.names[team].clone();
        self.submit(&name);
    }

    /// A request that is admitted at once and released.
    fn submit(&mut self, name: &Name) {
        self.now = self.now + self.pause;
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

//! Measures a snapshot of 31,000 teams and 4,000 endpoints.
//!
//! Prints its resident memory, the memory that each further revision adds, and the
//! time of each operation.

use std::fs;
use std::hint::black_box;
use std::io::{self, Write};
use std::time::{Duration, Instant};

use mimosashift::resource::{Kind, Name, Resource, Snapshot, Spec};
use sha2::{Digest, Sha256};

const TEAMS: u64 = 31_000;
const ENDPOINTS: u64 = 4_000;
const CHANGES: u64 = 1_000;
const LOOKUPS: u64 = 100_000;

/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;

fn main() -> io::Result<()> {
    let mut out = io::stdout().lock();
    let before = resident_bytes()?;
    let (snapshot, build) = timed(|| Snapshot::new(1, resources()));
    let size = resident_bytes()? - before;
    writeln!(out, "{} resources: {size} bytes resident, built in {build:?}", snapshot.len())?;

    let before = resident_bytes()?;
    let (kept, time) = timed(|| changes(&snapshot));
    let added = (resident_bytes()? - before) / CHANGES;
    writeln!(
        out,
        "a change: {:?}, {added} bytes for each revision kept",
        mean_time(time, CHANGES)
    )?;
    drop(kept);

    let digests: Vec<_> = (0..LOOKUPS).map(|n| digest(n % TEAMS)).collect();
    let (found, time) =
        timed(|| digests.iter().filter(|digest| snapshot.team_of_token(digest).is_some()).count());
    writeln!(out, "team of a token: {:?}, {found} found", mean_time(time, LOOKUPS))?;
    let (count, time) = timed(|| snapshot.list(Kind::Endpoint).count());
    writeln!(out, "list of {count} endpoints: {time:?}")?;
    let (_, time) = timed(|| (0..LOOKUPS).for_each(|_| drop(black_box(snapshot.clone()))));
    writeln!(out, "clone: {:?}", mean_time(time, LOOKUPS))
}

fn resources() -> impl Iterator<Item = Resource> {
    let priority = resource(Kind::Priority, "standard", r#"{"level":1}"#);
    let teams = (0..TEAMS).map(|n| {
        let digest = hex::encode(digest(n));
        let body = format!(r#"{{"priority":"standard","token_digests":["{digest}"]}}"#);
        resource(Kind::Team, &format!("team-{n:05}"), &body)
    });
    let endpoints = (0..ENDPOINTS).map(|n| {
        let body = format!(
            r#"{{"address":"10.0.{}.{}:80","domain":"domain-{}","role":{{"engine":{{
            "accelerator":"kind-{}","layer_us":100,
            "holds":[{{"pipeline":"p","version":1,"layers":[0,16]}}]}}}}}}"#,
            n / 256,
            n % 256,
            n % 11,
            n % 5,
        );
        resource(Kind::Endpoint, &format!("endpoint-{n:04}"), &body)
    });
    std::iter::once(priority).chain(teams).chain(endpoints)
}

fn resource(kind: Kind, name: &str, body: &str) -> Resource {
    let name = Name::try_from(name).expect("the name is valid");
    let spec = Spec::decode(kind, body.as_bytes()).expect("the specification is valid");
    Resource { name, revision: 1, spec }
}

/// Creates snapshots of successive revisions, each of which changes one team.
fn changes(first: &Snapshot) -> Vec<Snapshot> {
    let mut kept = vec![first.clone()];
    for n in 0..CHANGES {
        let last = kept.last().expect("it contains the first snapshot");
        let name = Name::try_from(format!("team-{:05}", n * 31)).expect("the name is valid");
        let spec = first.get(Kind::Team, &name).map(|team| team.spec.clone());
        kept.push(last.with(n + 2, Kind::Team, &name, spec));
    }
    kept
}

fn digest(n: u64) -> [u8; 32] {
    Sha256::digest(n.to_le_bytes()).into()
}

fn resident_bytes() -> io::Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.map(|pages| pages * PAGE_BYTES).ok_or_else(|| io::Error::other("statm has no pages"))
}

fn timed<T>(f: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    (f(), start.elapsed())
}

fn mean_time(time: Duration, count: u64) -> Duration {
    time / u32::try_from(count).unwrap_or(u32::MAX)
}

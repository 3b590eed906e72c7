//! Replication of the configuration to every router, under network and table
//! faults.

mod fake;

use std::time::Duration;

use fake::change;
use fake::cluster::Cluster;
use mimosashift::config::Error;
use mimosashift::config::phase::{NotServingReason, RouterConfig};
use mimosashift::config::store::Gone;
use mimosashift::resource::Kind;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Time for the routers of a cluster to discover each other and start to serve.
const START_TIME: Duration = Duration::from_secs(6);

#[test_case(12, 3, 1, Duration::from_secs(2); "12 routers in 3 domains")]
#[test_case(370, 11, 1, Duration::from_secs(7); "370 routers in 11 domains")]
#[test_case(370, 11, 4, Duration::from_secs(7); "370 routers in 11 domains, another seed")]
fn change_is_in_force_in_time(routers: usize, domains: usize, seed: u64, limit: Duration) {
    let mut cluster = Cluster::new(routers, domains, seed);
    cluster.run(START_TIME).unwrap();
    let mut slowest = Duration::ZERO;
    for id in 1..=10 {
        let through = usize::try_from(id * 7).unwrap() % routers;
        let revision = cluster.commit(through, change(id, "urgent", 1)).unwrap();
        slowest = slowest.max(cluster.run_until(revision, limit).unwrap());
    }
    eprintln!("{routers} routers: slowest of 10 changes in force after {slowest:?}");
    cluster.run(Duration::from_secs(4)).unwrap();
    let node = &cluster.nodes[0];
    let in_force = node.membership.in_force(cluster.now, &node.report(), 10);
    let installed: usize = in_force.values().map(|count| count.installed).sum();
    assert_eq!((in_force.len(), installed), (domains, routers), "{in_force:?}");
    assert!(cluster.nodes.iter().all(|n| n.serves() && n.alarms.is_empty()));
}

/// Injects one random fault; table and network faults can combine freely.
fn inject_fault(cluster: &mut Cluster, rng: &mut Pcg64Mcg, backups: &mut Vec<fake::Rows>) {
    let domains = cluster.net.partition.len();
    let domain = rng.random_range(0..domains);
    let router = rng.random_range(0..cluster.nodes.len());
    match rng.random_range(0..9) {
        0 => cluster.net.partition[domain] = rng.random_range(0..2),
        1 => cluster.net.table_unreachable[domain] = rng.random_bool(0.5),
        2 => cluster.restart(router),
        3 => cluster.nodes[router].paused = rng.random_bool(0.5),
        4 => backups.push(cluster.table.rows()),
        5 => {
            let stale = rng.random_bool(0.5).then(|| backups.last().cloned()).flatten();
            cluster.table.with(|inner| inner.stale = stale);
        }
        6 => {
            let faults = [fake::Fault::LostAfterEffect, fake::Fault::Down];
            cluster.table.with(|inner| inner.commits = faults.to_vec());
        }
        7 => cluster.table.with(|inner| inner.down = rng.random_bool(0.5)),
        _ => cluster.net.drop = rng.random_range(0.0..0.3),
    }
}

fn clear_faults(cluster: &mut Cluster) {
    cluster.net.partition.fill(0);
    cluster.net.table_unreachable.fill(false);
    cluster.net.drop = 0.0;
    cluster.nodes.iter_mut().for_each(|node| node.paused = false);
    cluster.table.with(|inner| {
        inner.down = false;
        inner.stale = None;
        inner.commits.clear();
    });
}

/// Runs a random history. Fails if a router rolls back, installs a
/// configuration that was never accepted, or does not catch up after the faults
/// have ended.
fn random_history(seed: u64, install_any: bool) -> Result<u64, String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut cluster = Cluster::new(12, 3, seed);
    cluster.net.duplicate = 0.05;
    cluster.net.delay = 4;
    cluster.install_any = install_any;
    cluster.run(START_TIME)?;
    let mut backups = Vec::new();
    for id in 1..=60 {
        inject_fault(&mut cluster, &mut rng, &mut backups);
        let router = rng.random_range(0..cluster.nodes.len());
        let mut wanted = change(id, &format!("p{}", rng.random_range(0..4)), 1);
        if rng.random_bool(0.2) {
            wanted.spec = None;
        }
        // A change may fail or have an unknown outcome.
        let _ = cluster.commit(router, wanted);
        let pause = rng.random_range(50..1_500);
        cluster.run(Duration::from_millis(pause))?;
    }
    clear_faults(&mut cluster);
    let mut last = change(1_000, "last", 1);
    last.kind = Kind::Priority;
    let revision = (0..40)
        .find_map(|id| {
            last.id.0 += id;
            let router = usize::try_from(id % 12).unwrap();
            cluster.run(Duration::from_millis(100)).ok()?;
            cluster.commit(router, last.clone()).ok()
        })
        .ok_or("no change was accepted after the faults had ended")?;
    cluster.run_until(revision, Duration::from_secs(7))?;
    Ok(revision)
}

#[test]
fn no_router_rolls_back() {
    let mut accepted = 0;
    for seed in 0..40 {
        accepted += random_history(seed, false).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
    assert!(accepted > 400, "only {accepted} changes were accepted in all histories");
}

#[test]
fn installing_any_revision_is_detected() {
    let failed = (0..10).filter(|seed| random_history(*seed, true).is_err()).count();
    assert!(failed > 0, "the fault was not detected in any history");
}

#[test]
fn restored_table_raises_an_alarm_and_is_rejected() {
    let mut cluster = Cluster::new(4, 2, 1);
    cluster.run(START_TIME).unwrap();
    cluster.commit(0, change(1, "urgent", 1)).unwrap();
    let backup = cluster.table.rows();
    cluster.commit(0, change(2, "urgent", 2)).unwrap();
    cluster.run_until(2, Duration::from_secs(2)).unwrap();
    cluster.table.restore(backup);
    cluster.run(Duration::from_secs(5)).unwrap();
    assert!(cluster.nodes.iter().all(|node| node.version().revision == 2));
    let stale = Error::Stale { installed: 2, table: 1 };
    assert!(cluster.nodes.iter().any(|node| node.alarms.contains(&stale)));
    assert_eq!(cluster.commit(1, change(3, "urgent", 3)), Err(stale));
}

#[test]
fn router_starts_from_peers_while_the_table_is_down() {
    let mut cluster = Cluster::new(4, 2, 1);
    cluster.run(START_TIME).unwrap();
    cluster.commit(0, change(1, "urgent", 1)).unwrap();
    cluster.run_until(1, Duration::from_secs(2)).unwrap();
    cluster.table.with(|inner| inner.down = true);
    cluster.restart(2);
    cluster.run(START_TIME).unwrap();
    assert!(cluster.nodes.iter().all(|n| n.serves() && n.version().revision == 1));
}

#[test]
fn router_without_any_source_reports_the_reason() {
    let mut cluster = Cluster::new(2, 2, 1);
    cluster.table.with(|inner| inner.down = true);
    cluster.run(START_TIME).unwrap();
    for node in &cluster.nodes {
        assert_eq!(node.reason(cluster.now), Some(NotServingReason::NoSource));
    }
    cluster.table.with(|inner| inner.down = false);
    cluster.run(START_TIME).unwrap();
    assert!(cluster.nodes.iter().all(|node| node.serves()));
}

#[test]
fn one_router_per_domain_polls() {
    let mut cluster = Cluster::new(12, 3, 1);
    cluster.run(START_TIME).unwrap();
    let polls = |c: &Cluster| c.nodes.iter().map(|n| n.replicator().polls()).collect::<Vec<_>>();
    let before = polls(&cluster);
    cluster.run(Duration::from_secs(20)).unwrap();
    let polled: Vec<_> = polls(&cluster).iter().zip(&before).map(|(a, b)| a - b).collect();
    let total: u64 = polled.iter().sum();
    eprintln!("12 routers in 3 domains made {total} polls in 20 s: {polled:?}");
    // Three domains at two polls per second make 120 polls in 20 s; jitter
    // lowers the number.
    assert!(total <= 120, "{polled:?}");
    let poller = polled.iter().position(|n| *n > 0).unwrap();
    cluster.nodes[poller].up = false;
    cluster.commit((poller + 1) % 12, change(1, "urgent", 1)).unwrap();
    cluster.run_until(1, Duration::from_secs(7)).unwrap();
}

#[test]
fn lagging_router_pulls_a_snapshot_in_chunks() {
    let mut cluster = Cluster::new(3, 1, 1);
    cluster.run(START_TIME).unwrap();
    for id in 1..=1_500 {
        cluster.commit(0, change(id, &format!("p{id}"), 1)).unwrap();
    }
    cluster.run_until(1_500, Duration::from_secs(5)).unwrap();
    cluster.table.with(|inner| inner.down = true);
    cluster.restart(1);
    cluster.run_until(1_500, Duration::from_secs(10)).unwrap();
    assert_eq!(cluster.nodes[1].replicator().store().state().snapshot().len(), 1_500);
}

#[test]
fn starting_router_waits_for_the_highest_revision() {
    let mut cluster = Cluster::new(4, 2, 1);
    cluster.run(START_TIME).unwrap();
    cluster.commit(0, change(1, "urgent", 1)).unwrap();
    cluster.run_until(1, Duration::from_secs(2)).unwrap();
    let peers = cluster.nodes[0].membership.peers(cluster.now);
    let node = cluster.nodes[0].membership.identity().node.clone();
    let starting = RouterConfig::new(node, cluster.now);
    let later = cluster.now + START_TIME;
    let behind = NotServingReason::Behind { installed: 0, wanted: 1 };
    assert_eq!(starting.reason(later, &peers), Some(behind));
    assert!(starting.serve(later, &peers).is_err());
}

#[test]
fn watch_resumes_or_must_list_again() {
    let mut cluster = Cluster::new(1, 1, 1);
    cluster.run(START_TIME).unwrap();
    for id in 1..=1_500 {
        cluster.commit(0, change(id, "urgent", 1)).unwrap();
    }
    let store = cluster.nodes[0].replicator().store();
    let watched: Vec<_> = store.watch(1_498).unwrap().map(|record| record.revision).collect();
    assert_eq!(watched, [1_499, 1_500]);
    assert_eq!(store.watch(1_500).unwrap().count(), 0);
    assert_eq!(store.watch(476).unwrap().count(), 1_024);
    for revision in [0, 475, 1_501] {
        assert_eq!(store.watch(revision).err(), Some(Gone { current: 1_500 }), "{revision}");
    }
}

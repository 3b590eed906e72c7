//! Tests of the division of the link between zones among routers, against a small world of
//! three zones of engines.

use std::time::Duration;

use mimosashift::fleet::LinkRecord;
use rand::RngExt;
use test_case::test_case;

use common::deployment::{at, endpoint, layers};
use common::fleet::{DEMAND, fleet};
use common::link_world::{Ended, STEP, World, engine_with, zones};

#[path = "common"]
mod common {
    pub mod deployment;
    pub mod fleet;
    pub mod link_world;
}

/// Zones of which each has little memory for another part of the model, so that chains
/// over two zones find memory where those in one zone do not.
const UNEVEN: [(&str, u16); 3] = [("a", 30), ("b", 50), ("c", 40)];

/// Largest number of bytes charged in any second from `from`, and the mean from `steady`
/// on, both as parts of what is usable.
fn link_use(world: &World, from: u64, steady: u64) -> (f64, f64) {
    let second = Duration::from_secs(1);
    let since = |ms| world.charged.iter().filter(move |(when, _)| *when >= at(ms));
    let sum = |start| -> f64 {
        let within = since(from).filter(|(when, _)| (start..start + second).contains(when));
        within.map(|(_, bytes)| bytes).sum()
    };
    let most = since(from).map(|(start, _)| sum(*start)).fold(0.0, f64::max);
    let mean = since(steady).map(|(_, bytes)| bytes).sum::<f64>()
        / world.now.since(at(steady)).as_secs_f64();
    (most / world.usable_bytes(), mean / world.usable_bytes())
}

/// Where the demand is, from 0 to 4 s and from 4 s on.
enum Place {
    All,
    One,
    OneZone,
    ZoneToZone,
}

impl Place {
    fn routers(&self, ms: u64) -> (usize, usize) {
        match self {
            Self::All => (0, 30),
            Self::One => (0, 1),
            Self::OneZone => (0, 10),
            Self::ZoneToZone if ms < 4_000 => (0, 10),
            Self::ZoneToZone => (10, 20),
        }
    }
}

/// Chains that cross the link are all there are, at three times what it carries.
#[test_case(&Place::All, 1, 0; "all routers")]
#[test_case(&Place::One, 2, 0; "one router")]
#[test_case(&Place::OneZone, 3, 0; "a third of the routers")]
#[test_case(&Place::ZoneToZone, 4, 0; "routers of one zone, then those of another")]
#[test_case(&Place::OneZone, 5, 10; "beside ten routers of an older build")]
fn shares_add_up_to_the_usable_part(place: &Place, seed: u64, older: usize) {
    let halves = [(0, "a", 0, 40), (1, "b", 40, 80)];
    let entries =
        halves.map(|(n, zone, from, to)| endpoint(n, zone, "huge", Some(layers(from, to))));
    let mut world = World::new(&entries, engine_with(1e7, 2_000_000.0), 30, seed);
    world.routers.iter_mut().rev().take(older).for_each(|router| router.reports = false);
    let bytes = (DEMAND.prompt + DEMAND.output) * 29_500.0;
    let arrivals = 3.0 * world.usable_bytes() / bytes * STEP.as_secs_f64();
    for ms in (0..8_000).step_by(10) {
        let (from, to) = place.routers(ms);
        let extra = world.rng.random_bool(arrivals.fract());
        for _ in 0..arrivals as usize + usize::from(extra) {
            let router = world.rng.random_range(from..to);
            world.arrive_at(router);
        }
        world.step();
    }
    let (most, mean) = link_use(&world, 0, 6_000);
    println!("most {most:.3} mean {mean:.3}");
    // Older builds leave their shares unused here.
    let usable = 1.0 - older as f64 / 30.0;
    assert!(most <= 1.1, "{most:.3} of the usable part in a second");
    assert!(mean >= 0.85 * usable, "{mean:.3} of the usable part");
}

/// The part of the link that a router gets that has refused one request, after reports of
/// peers of what they use, in multiples of that request, and after `age`.
#[test_case(&[Some(1.0); 3], 0 => "0.25"; "equal demand")]
#[test_case(&[Some(0.0); 3], 0 => "0.51"; "demand of its own only")]
#[test_case(&[Some(10.0); 3], 0 => "0.04"; "more demand of others")]
#[test_case(&[None; 9], 0 => "0.10"; "peers of older builds use equal shares")]
#[test_case(&[None, Some(1.0), Some(1.0), None], 0 => "0.20"; "the rest is divided by demand")]
#[test_case(&[], 0 => "0.25"; "no peer known yet")]
#[test_case(&[Some(10.0); 4], 2_900 => "0.03"; "reports are kept")]
#[test_case(&[Some(10.0); 4], 3_000 => "0.20"; "reports expire")]
fn share_follows_reported_demand(reports: &[Option<f32>], age: u64) -> String {
    let engine = engine_with(120_000.0, 700_000.0);
    let mut fleet = fleet(zones(UNEVEN));
    let request = (DEMAND.prompt + DEMAND.output) * engine.activation_bytes;
    let now = at(5_000);
    for (index, report) in reports.iter().enumerate() {
        let link = report.map(|used| LinkRecord { used: used * request as f32, unmet: 0.0 });
        fleet.merge_link(&format!("r{index}").into(), link, now);
    }
    fleet.record_link_full(&engine, &DEMAND, 0.0, now);
    fleet.update_limits(reports.len() + 1, now);
    // What it reported counts once peers count it as well.
    fleet.update_limits(reports.len() + 1, now + Duration::from_millis(age.max(600)));
    format!("{:.2}", fleet.link_share() / (engine.link_bytes_per_ms * 800.0))
}

/// What ended in each second from `from` to `to`: complete answers, and all.
fn answered(
    world: &World,
    from: u64,
    to: u64,
    time: impl Fn(&Ended) -> mimosashift::time::Instant,
) -> (f64, f64) {
    let within = world.ended.iter().filter(|ended| (at(from)..at(to)).contains(&time(ended)));
    let (mut complete, mut all) = (0.0, 0.0);
    within.for_each(|ended| {
        all += 1.0;
        complete += f64::from(u8::from(ended.first_event.is_some()));
    });
    (complete, all)
}

/// Demand of twice the capacity from 3 to 10 s, and of half of it otherwise; returns the
/// least complete answers of any 2 s of the burst as part of the capacity, and the part of
/// the requests answered that arrive from 2 s after its end on.
fn burst(mut world: World) -> (f64, f64) {
    let capacity = world.capacity();
    for ms in (0..18_000).step_by(10) {
        let load = if (3_000..10_000).contains(&ms) { 2.0 } else { 0.5 };
        let arrivals = load * capacity * STEP.as_secs_f64();
        for _ in 0..arrivals as usize + usize::from(world.rng.random_bool(arrivals.fract())) {
            let zone = ["a", "b", "c"][world.rng.random_range(0..3)];
            world.arrive(Some(zone));
        }
        world.step();
    }
    let windows = (6_000..=8_000).step_by(500);
    let served = windows.map(|ms| answered(&world, ms, ms + 2_000, |ended| ended.at).0 / 2.0);
    let least = served.fold(f64::MAX, f64::min) / capacity;
    let (complete, all) = answered(&world, 12_000, 15_000, |ended| ended.arrived);
    println!(
        "least {least:.3} of {capacity:.0}/s, then {:.3}, refused {}",
        complete / all,
        world.refused
    );
    (least, complete / all)
}

#[test_case(1, 21; "1 router")]
#[test_case(30, 22; "30 routers")]
fn overload_does_not_feed_itself(routers: usize, seed: u64) {
    let world = World::new(&zones(UNEVEN), engine_with(120_000.0, 700_000.0), routers, seed);
    let (least, after) = burst(world);
    assert!(least >= 0.9, "{least:.3} of the capacity during the burst");
    assert!(after >= 0.95, "{after:.3} of the demand after it");
}

/// The fault that the division of the link answers.
#[test]
fn overload_feeds_itself_if_the_link_is_undivided() {
    let world = World::new(&zones(UNEVEN), engine_with(120_000.0, 700_000.0), 30, 22);
    let (least, _) = burst(world.undivided());
    assert!(least < 0.5, "{least:.3} of the capacity during the burst");
}

/// Most of the demand is in one zone, another from 5 s and the third from 9 s on, each time
/// within 2 s; all zones together have room for it.
#[test_case(31; "seed 31")]
#[test_case(32; "seed 32")]
fn demand_that_moves_is_served_while_there_is_room(seed: u64) {
    let even = [("a", 40), ("b", 40), ("c", 40)];
    let mut world = World::new(&zones(even), engine_with(120_000.0, 700_000.0), 30, seed);
    let arrivals = 0.6 * world.capacity() * STEP.as_secs_f64();
    for ms in (0..15_000_u64).step_by(10) {
        let position =
            if ms < 9_000 { ms.saturating_sub(5_000).min(2_000) } else { ms.min(11_000) - 7_000 };
        let from = position / 2_000;
        let has_moved = world.rng.random_bool((position % 2_000) as f64 / 2_000.0);
        for _ in 0..arrivals as usize + usize::from(world.rng.random_bool(arrivals.fract())) {
            let place = if world.rng.random_bool(0.6) {
                from as usize + usize::from(has_moved)
            } else {
                world.rng.random_range(0..3)
            };
            world.arrive(Some(["a", "b", "c"][place % 3]));
        }
        world.step();
    }
    let is_late =
        |ended: &&Ended| ended.first_event.is_none_or(|first| first > Duration::from_millis(500));
    let late = world.ended.iter().filter(is_late).count() as f64 / world.ended.len() as f64;
    println!("late {late:.4} of {}, refused {}", world.ended.len(), world.refused);
    assert!(late < 0.02, "{late:.4} are refused or late");
}

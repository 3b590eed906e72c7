//! Tests of the terms of each rank, and of routers that apply them with late digests.

use std::sync::Arc;
use std::time::Duration;

use mimosashift::admit::pressure::MemoryPressure;
use mimosashift::admit::rank::{KEPT_INTERVAL, Ladder, Terms, cache_share};
use mimosashift::deployment::{Access, Deployment, Limits, Rank, Ranks, Route, RouteKind, Team};
use mimosashift::fleet::USABLE_CACHE_SHARE;

use test_case::test_case;

use common::crowd::{Crowd, Policy, RANKS};
use common::deployment::{MODEL, at};

#[path = "common"]
mod common {
    pub mod crowd;
    pub mod deployment;
    pub mod fleet;
}

/// Largest part of the refusals that may be inversions.
const MAX_INVERSIONS: f64 = 0.02;

/// Smallest part of the memory that is asked for which must be in use.
const MIN_SERVED: f64 = 0.95;

/// Part of the usable memory that every rank may fill.
const MIN_SHARE: f64 = 0.9;

const S: Duration = Duration::from_secs(1);

fn ranks(levels: &[u8]) -> Ranks {
    levels.iter().copied().map(Rank::from).collect()
}

#[test_case(&[0]; "the most urgent")]
#[test_case(&[5]; "another")]
#[test_case(&[3, 3]; "twice the same")]
fn one_rank_gets_the_terms_without_ranks(levels: &[u8]) {
    let mut ladder = Ladder::default();
    let service: Arc<str> = "model".into();
    for _ in 0..3 * KEPT_INTERVAL {
        let rank = Rank::from(levels[0]);
        let terms = ladder.terms(&service, &ranks(levels), rank);
        assert_eq!(terms, Terms { waits_as: rank, ..Terms::default() });
    }
}

#[test_case(&[0, 1]; "two")]
#[test_case(&[0, 1, 2]; "three")]
#[test_case(&[2, 5, 9]; "three that are apart")]
#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9]; "all")]
fn less_urgent_ranks_may_fill_less(levels: &[u8]) {
    let ranks = ranks(levels);
    let shares: Vec<_> = levels.iter().map(|rank| cache_share(&ranks, (*rank).into())).collect();
    assert_eq!(shares[0], USABLE_CACHE_SHARE);
    assert!(shares.is_sorted_by(|a, b| a > b), "{shares:?}");
    assert!(shares.iter().all(|share| *share >= MIN_SHARE * USABLE_CACHE_SHARE), "{shares:?}");
}

#[test]
fn one_in_some_requests_of_each_rank_is_judged_as_the_most_urgent() {
    let (mut ladder, ranks) = (Ladder::default(), ranks(&[0, 1, 2]));
    let services: [Arc<str>; 2] = ["a".into(), "b".into()];
    let mut kept = [[0; RANKS]; 2];
    for n in 0..6 * 10 * KEPT_INTERVAL as usize {
        let (service, level) = (n % 2, n % 3);
        let terms = ladder.terms(&services[service], &ranks, Rank::from(level as u8));
        kept[service][level] += u32::from(terms.is_kept);
        assert!(!terms.is_kept || !terms.reserves());
    }
    assert_eq!(kept, [[0, 10, 10]; 2]);
}

/// A route to the model.
fn route(priority: u8, public: bool) -> Route {
    Route {
        name: format!("route-{priority}").into(),
        host: "example".into(),
        prefix: format!("/{priority}/"),
        kind: RouteKind::Safe,
        timeout: S,
        objective: S,
        attempts: 2,
        priority,
        public,
        targets: [(MODEL.into(), 1)].into_iter().collect(),
    }
}

fn team(priority: Option<u8>) -> Team {
    Team { name: format!("team {priority:?}"), priority }
}

#[test_case(&[], &[2] => vec![2]; "one route")]
#[test_case(&[], &[2, 0] => vec![0, 2]; "two routes")]
#[test_case(&[None], &[2, 0] => vec![0, 2]; "a team without a priority")]
#[test_case(&[Some(7)], &[2, 0] => vec![7]; "a team with a priority")]
#[test_case(&[Some(7), None], &[2] => vec![2, 7]; "teams with and without")]
#[test_case(&[Some(200)], &[2] => vec![9]; "beyond the last rank")]
fn ranks_of_a_service_are_those_of_its_requests(teams: &[Option<u8>], routes: &[u8]) -> Vec<usize> {
    let named = |priority: &Option<u8>| (team(*priority), vec![format!("key {priority:?}")]);
    let access: Access = match teams {
        [] => Access::Open,
        teams => teams.iter().map(named).collect(),
    };
    let routes = routes.iter().map(|priority| route(*priority, false)).collect();
    let deployment = Deployment::new(1, routes, Vec::new(), access, Limits::default());
    let ranks = deployment.ranks(MODEL);
    let is_used = |level: &u8| {
        let (rank, next) = (Rank::from(*level), Rank::from(*level + 1));
        let below = if *level == 9 { ranks.len() } else { ranks.count_above(next) };
        below > ranks.count_above(rank)
    };
    (0..Rank::COUNT as u8).filter(is_used).map(usize::from).collect()
}

#[test]
fn priority_of_the_team_goes_before_that_of_the_route() {
    let route = route(2, false);
    let rank = |team: Option<Team>| Rank::of(&route, team.as_ref()).level();
    assert_eq!([rank(None), rank(Some(team(None))), rank(Some(team(Some(5))))], [2, 2, 5]);
}

#[test]
fn public_routes_keep_their_rank_beside_teams() {
    let access: Access = [(team(Some(4)), vec!["key".to_owned()])].into_iter().collect();
    let routes = vec![route(1, true), route(2, false)];
    let deployment = Deployment::new(1, routes, Vec::new(), access, Limits::default());
    assert_eq!(deployment.ranks(MODEL), ranks(&[1, 4]));
}

#[test]
fn waiting_requests_are_tried_by_rank_then_arrival() {
    let mut pressure = MemoryPressure::default();
    let mut begin = |rank: u8| pressure.begin_wait(rank.into(), at(0));
    let late = [begin(2), begin(2)].map(Option::unwrap);
    assert_eq!(begin(2), None, "the line of its rank is full");
    let urgent = [begin(0), begin(0)].map(Option::unwrap);
    assert_eq!(begin(1), None, "more urgent ones fill the line");
    assert_eq!(pressure.ahead_of(0.into()), 2);
    let mut order = vec![pressure.first().unwrap()];
    order.extend(std::iter::successors(pressure.after(&order[0]), |last| pressure.after(last)));
    assert_eq!(order, [urgent, late].concat());
}

#[test]
fn refusals_of_one_rank_do_not_delay_the_clients_of_another() {
    let mut pressure = MemoryPressure::default();
    for _ in 0..100 {
        pressure.record_admitted(0.into(), at(0));
        pressure.record_refused(2.into(), at(0));
    }
    let usual = MemoryPressure::default().retry_after(0.into(), 0.5);
    assert_eq!(pressure.retry_after(0.into(), 0.5), usual);
    assert!(pressure.retry_after(2.into(), 0.5) > 4 * usual);
}

macro_rules! crowds {
    ($($name:ident: $routers:literal routers, $pairs:literal copies, load $load:literal;)*) => {$(
        #[test]
        fn $name() {
            let tally = Crowd::new($routers, $pairs, Policy::Ladder, 1).play($load);
            let kept = 1.0 / f64::from(KEPT_INTERVAL);
            println!("{} routers, load {}: {tally:?}", $routers, $load);
            let part = |rank| f64::from(tally.admitted[rank]) / f64::from(tally.arrived[rank]);
            let (part, kept) = (part(RANKS - 1), kept * part(0));
            let inversions = f64::from(tally.inversions) / f64::from(tally.refused.max(1));
            println!("inversions {inversions:.4}, least urgent {part:.3}, served {:.3}", tally.served);
            assert!(inversions < MAX_INVERSIONS, "inversions: {inversions:.4} of refusals");
            assert!(part >= kept * 0.9, "of the least urgent rank: {part:.3}");
            assert!(tally.served >= MIN_SERVED, "served: {:.3}", tally.served);
        }
    )*};
}

crowds! {
    one_router_under_load: 1 routers, 1 copies, load 0.8;
    one_router_with_little_overload: 1 routers, 1 copies, load 1.2;
    one_router_with_overload: 1 routers, 1 copies, load 2.0;
    one_router_with_much_overload: 1 routers, 1 copies, load 4.0;
    thirty_routers_under_load: 30 routers, 1 copies, load 0.8;
    thirty_routers_with_little_overload: 30 routers, 1 copies, load 1.2;
    thirty_routers_with_overload: 30 routers, 1 copies, load 2.0;
    thirty_routers_with_much_overload: 30 routers, 1 copies, load 4.0;
    many_routers_under_load: 79 routers, 2 copies, load 0.8;
    many_routers_with_little_overload: 79 routers, 2 copies, load 1.2;
    many_routers_with_overload: 79 routers, 2 copies, load 2.0;
    many_routers_with_much_overload: 79 routers, 2 copies, load 4.0;
}

/// The check can fail: without ranks most of the refusals are in favour of less urgent ones.
#[test]
fn inversions_show_without_ranks() {
    let tally = Crowd::new(30, 1, Policy::Unranked, 1).play(2.0);
    assert!(tally.inversions > tally.refused / 4, "{tally:?}");
}

//! Tests of contents that crash endpoints: which are blocked, when they are tried
//! again, and what routers tell each other.

use std::collections::BTreeMap;

use mimosashift::exchange::PromptPart;
use mimosashift::fleet::Incarnation;
use mimosashift::quarantine::{Content, Fingerprint, Quarantine, Verdict};
use mimosashift::time::Instant;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const CRASHING: Content = part(0xbad);
const COMMON: Content = part(0x5a);
const OTHER: Content = part(0xd1);

const fn part(id: u64) -> Content {
    Content::Part(PromptPart { model: 1, id })
}

/// The content of a whole request.
fn request(body: &str) -> Content {
    Content::Request(Fingerprint::new(Some("team"), "POST", "host", "/path", body.as_bytes()))
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

const fn engine(number: u64) -> Incarnation {
    (number, 1)
}

/// Engines 0, 1, … crash one second after the other under these prompts.
fn after_crashes(prompts: &[&[Content]]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (number, parts) in (0..).zip(prompts) {
        quarantine.record_crash(parts, engine(number), at(1_000 + number * 1_000));
    }
    quarantine
}

fn is_admitted(quarantine: &mut Quarantine, parts: &[Content], ms: u64) -> bool {
    quarantine.admit(parts, |_| 0, at(ms)) == Verdict::Admitted
}

macro_rules! blocking_tests {
    ($($name:ident: $prompts:expr => $blocked:expr;)*) => {$(
        #[test]
        fn $name() {
            let blocked: Vec<_> = after_crashes(&$prompts).blocked().map(|(part, _)| part).collect();
            assert_eq!(blocked, $blocked);
        }
    )*};
}

blocking_tests! {
    two_crashes_are_not_enough: [&[CRASHING], &[CRASHING]] => [];
    three_crashes_block_a_part: [&[CRASHING], &[CRASHING], &[CRASHING]] => [CRASHING];
    part_in_fewer_crashes_is_not_blocked:
        [&[CRASHING], &[OTHER, CRASHING], &[OTHER, CRASHING], &[OTHER, CRASHING]] => [CRASHING];
    parts_that_crash_apart_are_both_blocked:
        [&[CRASHING], &[OTHER], &[CRASHING], &[OTHER], &[CRASHING], &[OTHER]] => [OTHER, CRASHING];
    prompts_without_shared_parts_block_nothing: [&[], &[], &[]] => [];
}

#[test]
fn part_that_has_been_served_is_not_blamed_for_an_unserved_one() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&[COMMON], at(500));
    for number in 0..5 {
        quarantine.record_crash(&[COMMON, CRASHING], engine(number), at(1_000 * (number + 1)));
    }
    assert!(is_admitted(&mut quarantine, &[COMMON, OTHER], 6_000));
    assert!(matches!(
        quarantine.admit(&[COMMON, CRASHING], |_| 0, at(6_000)),
        Verdict::Blocked(CRASHING, _)
    ));
}

#[test]
fn part_that_was_sound_before_is_blocked_once_it_crashes_engines() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&[COMMON, CRASHING], at(500));
    for number in 0..3 {
        quarantine.record_success(&[COMMON], at(900 + 1_000 * number));
        quarantine.record_crash(&[COMMON, CRASHING], engine(number), at(1_000 * (number + 1)));
    }
    let blocked: Vec<_> = quarantine.blocked().collect();
    assert_eq!(blocked, [(CRASHING, 3)]);
}

#[test]
fn repeated_request_is_blocked_and_its_served_parts_are_not() {
    let (crashing, sound) = (request("crash"), request("sound"));
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&[COMMON, sound], at(500));
    for number in 0..3 {
        let now = at(1_000 * (number + 1));
        // Repeats of a sound request, and others, are in flight at the same endpoint.
        quarantine.record_crash(&[COMMON, crashing], engine(number), now);
        quarantine.record_crash(&[COMMON, sound], engine(number), now);
        quarantine.record_crash(&[COMMON, request(&number.to_string())], engine(number), now);
    }
    assert_eq!(quarantine.blocked().collect::<Vec<_>>(), [(crashing, 3)]);
    assert!(is_admitted(&mut quarantine, &[COMMON, sound], 4_000));
    assert!(is_admitted(&mut quarantine, &[COMMON, request("new")], 4_000));
    assert!(matches!(
        quarantine.admit(&[COMMON, crashing], |_| 0, at(4_000)),
        Verdict::Blocked(content, _) if content == crashing
    ));
}

#[test]
fn part_in_requests_that_do_not_come_again_is_blocked() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&[COMMON, CRASHING], at(500));
    for number in 0..3 {
        quarantine.record_success(&[COMMON], at(900 + 1_000 * number));
        let contents = [COMMON, CRASHING, request(&number.to_string())];
        quarantine.record_crash(&contents, engine(number), at(1_000 * (number + 1)));
    }
    assert_eq!(quarantine.blocked().collect::<Vec<_>>(), [(CRASHING, 3)]);
}

#[test]
fn unknown_sound_request_in_the_same_crashes_is_tried_at_once() {
    let (crashing, sound) = (request("crash"), request("sound"));
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        quarantine.record_crash(&[crashing], engine(number), at(1_000 * (number + 1)));
        quarantine.record_crash(&[sound], engine(number), at(1_000 * (number + 1)));
    }
    assert_eq!(quarantine.admit(&[sound], |_| 3, at(3_100)), Verdict::Trial(sound));
    quarantine.record_success(&[sound], at(3_200));
    assert!(is_admitted(&mut quarantine, &[sound], 3_300));
    assert!(!is_admitted(&mut quarantine, &[crashing], 3_300));
}

#[test]
fn blocked_request_is_not_released_by_more_crashes_of_a_companion() {
    let (crashing, sound) = (request("crash"), request("sound"));
    let (mut quarantine, mut peer) = (Quarantine::default(), Quarantine::default());
    for number in 0..4 {
        let time = at(1_000 * (number + 1));
        peer.record_crash(&[sound], engine(number), time);
        // One crash of the request is known only to the router that saw it.
        if number != 1 {
            quarantine.record_crash(&[crashing], engine(number), time);
        }
    }
    assert!(!is_admitted(&mut quarantine, &[crashing], 4_100));
    quarantine.merge(&peer.records(at(5_000)), at(5_000));
    assert!(!is_admitted(&mut quarantine, &[crashing], 5_001));
}

#[test]
fn blocked_request_with_a_blocked_part_is_tried_once_both_may_be() {
    let contents = [CRASHING, request("crash")];
    let mut quarantine = after_crashes(&[&contents[..]; 3]);
    assert!(matches!(quarantine.admit(&contents, |_| 0, at(62_900)), Verdict::Blocked(..)));
    assert!(matches!(quarantine.admit(&contents, |_| 0, at(63_000)), Verdict::Trial(_)));
    assert!(matches!(quarantine.admit(&contents, |_| 0, at(63_001)), Verdict::Blocked(..)));
}

#[test]
fn request_in_two_crashes_or_with_an_unserved_part_is_a_likely_cause() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(&[COMMON], at(500));
    let contents = [COMMON, request("crash")];
    quarantine.record_crash(&contents, engine(0), at(1_000));
    assert!(!quarantine.is_likely_cause(&contents));
    assert!(quarantine.is_likely_cause(&[COMMON, OTHER]));
    quarantine.record_crash(&contents, engine(1), at(1_100));
    assert!(quarantine.is_likely_cause(&contents));
}

#[test_case(Some("other"), "POST", "host", "/path", "body"; "caller")]
#[test_case(Some("team"), "GET", "host", "/path", "body"; "method")]
#[test_case(Some("team"), "POST", "other", "/path", "body"; "host")]
#[test_case(Some("team"), "POST", "host", "/path?a", "body"; "target")]
#[test_case(Some("team"), "POST", "host", "/path", "other"; "body")]
#[test_case(None, "POST", "host", "/path", "body"; "no caller")]
fn fingerprints_differ_by(caller: Option<&str>, method: &str, host: &str, path: &str, body: &str) {
    let fingerprint = Fingerprint::new(caller, method, host, path, body.as_bytes());
    assert_ne!(Content::Request(fingerprint), request("body"));
    let repeat = Fingerprint::new(Some("team"), "POST", "HOST", "/path", b"body");
    assert_eq!(Content::Request(repeat), request("body"));
}

#[test]
fn success_clears_a_part() {
    let mut quarantine = after_crashes(&[&[CRASHING][..]; 3]);
    quarantine.record_success(&[CRASHING], at(5_000));
    assert!(!quarantine.is_blocked(CRASHING));
    assert!(is_admitted(&mut quarantine, &[CRASHING], 5_001));
}

#[test]
fn engines_that_crash_at_the_same_moment_count_once() {
    let mut quarantine = Quarantine::default();
    for number in 0..6 {
        quarantine.record_crash(&[CRASHING], engine(number), at(1_000 + number));
    }
    assert_eq!(quarantine.crash_count(CRASHING), 1);
}

#[test]
fn crash_seen_by_several_routers_counts_once() {
    let mut quarantine = Quarantine::default();
    for number in 0..6 {
        quarantine.record_crash(&[CRASHING], engine(0), at(1_000 + number * 500));
    }
    assert_eq!(quarantine.crash_count(CRASHING), 1);
}

#[test]
fn request_without_the_crashing_part_clears_its_companion() {
    let mut quarantine =
        after_crashes(&[&[CRASHING, OTHER], &[CRASHING, OTHER], &[CRASHING, OTHER]]);
    assert!(matches!(quarantine.admit(&[CRASHING, OTHER], |_| 0, at(4_000)), Verdict::Blocked(..)));
    assert_eq!(quarantine.admit(&[COMMON, OTHER], |_| 3, at(4_000)), Verdict::Trial(OTHER));
    // One trial at a time.
    assert!(matches!(quarantine.admit(&[COMMON, OTHER], |_| 3, at(4_100)), Verdict::Blocked(..)));
    quarantine.record_success(&[COMMON, OTHER], at(5_000));
    assert!(is_admitted(&mut quarantine, &[COMMON, OTHER], 5_001));
    assert!(!is_admitted(&mut quarantine, &[COMMON, CRASHING], 5_001));
}

#[test]
fn blocked_part_is_tried_by_one_router_after_another() {
    let mut quarantine = after_crashes(&[&[CRASHING][..]; 3]);
    let left = |verdict| match verdict {
        Verdict::Blocked(_, left) => left.as_secs(),
        _ => panic!("{verdict:?}"),
    };
    // The last crash was at 3 s.
    assert_eq!(left(quarantine.admit(&[CRASHING], |_| 0, at(3_000))), 60);
    assert_eq!(left(quarantine.admit(&[CRASHING], |_| 2, at(63_000))), 10);
    assert_eq!(quarantine.admit(&[CRASHING], |_| 0, at(63_000)), Verdict::Trial(CRASHING));
    quarantine.record_crash(&[CRASHING], engine(7), at(63_100));
    assert_eq!(left(quarantine.admit(&[CRASHING], |_| 0, at(63_100))), 60);
}

#[test]
fn part_that_a_prompt_has_twice_is_tried() {
    let mut quarantine = after_crashes(&[&[CRASHING, CRASHING][..]; 3]);
    assert_eq!(quarantine.crash_count(CRASHING), 3);
    assert_eq!(
        quarantine.admit(&[CRASHING, CRASHING], |_| 0, at(63_000)),
        Verdict::Trial(CRASHING)
    );
}

#[test_case(2, 61; "suspicion")]
#[test_case(3, 601; "block")]
fn crashes_are_forgotten(crashes: usize, seconds: u64) {
    let mut quarantine = after_crashes(&vec![&[CRASHING][..]; crashes]);
    let last = crashes as u64 * 1_000;
    quarantine.expire(at(last + (seconds - 2) * 1_000));
    assert_eq!(quarantine.records(at(0)).len(), 1);
    quarantine.expire(at(last + seconds * 1_000));
    assert_eq!(quarantine.records(at(0)).len(), 0);
}

#[test]
fn restarted_router_learns_from_its_peers() {
    let known = after_crashes(&[&[CRASHING][..]; 3]);
    let mut restarted = Quarantine::default();
    // Its clock starts anew.
    restarted.merge(&known.records(at(4_000)), at(70));
    assert!(!is_admitted(&mut restarted, &[CRASHING], 100));
    restarted.merge(&known.records(at(5_000)), at(1_070));
    assert_eq!(restarted.crash_count(CRASHING), 3);
}

#[test]
fn crashes_seen_by_different_routers_add_up() {
    let mut quarantine = Quarantine::default();
    for number in 0..3 {
        let mut peer = Quarantine::default();
        peer.record_crash(&[CRASHING], engine(number), at(1_000 * (number + 1)));
        quarantine.merge(&peer.records(at(4_000)), at(4_000));
    }
    assert_eq!(quarantine.crash_count(CRASHING), 3);
}

#[test]
fn success_reaches_peers_and_is_not_undone_by_older_crashes() {
    let mut one = after_crashes(&[&[CRASHING][..]; 3]);
    let stale = one.records(at(4_000));
    let mut other = Quarantine::default();
    other.merge(&stale, at(4_000));
    one.record_success(&[CRASHING], at(4_500));
    other.merge(&one.records(at(5_000)), at(5_000));
    other.merge(&stale, at(5_000));
    assert!(is_admitted(&mut other, &[CRASHING], 5_001));
}

#[test]
fn memory_is_bounded_and_blocked_parts_are_kept() {
    let mut quarantine = after_crashes(&[&[CRASHING][..]; 3]);
    for number in 0..20_000 {
        quarantine.record_crash(&[part(number << 16)], engine(number), at(4_000 + number));
        quarantine.record_success(&[part((number << 16) | 1)], at(4_000 + number));
    }
    assert!(quarantine.records(at(24_000)).len() <= 512);
    assert!(quarantine.is_blocked(CRASHING));
}

/// Routers of the simulation, and engines.
const ROUTERS: usize = 4;
const ENGINES: u64 = 40;

/// Time after its start at which an engine has proven a request harmless, and
/// at which it crashes under the part.
const PROOF_MS: u64 = 600;
const CRASH_MS: u64 = 60;

/// Time after which the digests of a router have reached all others.
const GOSSIP_MS: u64 = 900;

struct Run {
    router: usize,
    engine: u64,
    contents: Vec<Content>,
    is_crashing: bool,
    started: u64,
}

/// Outcome of a simulated minute.
struct Outcome {
    crashes: usize,
    sound: usize,
    sound_refused: usize,
    /// Sound contents that were in three crashes or more, which a count without
    /// successes would block.
    sound_in_crashes: usize,
}

/// What crashes engines in a simulation.
#[derive(Clone, Copy)]
enum Crashing {
    /// A part of prompts that differ otherwise.
    Part,
    /// A repeated request whose parts others share.
    Request,
}

/// 40 sound requests a second with a common part and one of 30 documents, half of them
/// repeats of 30 requests; 5 crashing ones a second, and a random crash every three
/// seconds.
fn simulate(seed: u64, crashing: Crashing) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut routers: Vec<_> = (0..ROUTERS).map(|_| Quarantine::default()).collect();
    let mut incarnations = vec![0_u64; ENGINES as usize];
    let mut runs: Vec<Run> = Vec::new();
    let mut outcome = Outcome { crashes: 0, sound: 0, sound_refused: 0, sound_in_crashes: 0 };
    let mut crashes_of: BTreeMap<Content, usize> = BTreeMap::new();
    for now in (0..60_000).step_by(10) {
        let mut crashed = Vec::new();
        if rng.random_ratio(1, 300) {
            crashed.push(rng.random_range(0..ENGINES));
        }
        for run in &runs {
            if run.is_crashing && now >= run.started + CRASH_MS {
                crashed.push(run.engine);
                outcome.crashes += 1;
            } else if now == run.started + PROOF_MS {
                routers[run.router].record_success(&run.contents, at(now));
            }
        }
        runs.retain(|run| {
            let is_lost = crashed.contains(&run.engine);
            if is_lost && now < run.started + PROOF_MS {
                let incarnation = (run.engine, incarnations[run.engine as usize]);
                routers[run.router].record_crash(&run.contents, incarnation, at(now));
                run.contents
                    .iter()
                    .for_each(|content| *crashes_of.entry(*content).or_default() += 1);
            }
            !is_lost && now < run.started + PROOF_MS
        });
        crashed.into_iter().for_each(|engine| incarnations[engine as usize] += 1);
        for (one_in, is_crashing) in [(20, true), (2, false), (2, false)] {
            // Some 5 and 100 requests a second.
            if !rng.random_ratio(1, one_in) || (is_crashing && now < 5_000) {
                continue;
            }
            let number = rng.random_range(0..30_u64);
            let document = part(0x1000 + number);
            let is_repeat = rng.random_ratio(1, 2);
            let id = if is_repeat { number } else { u64::from(rng.random::<u32>()) + 1_000 };
            let sound = vec![COMMON, document, request(&id.to_string())];
            let contents = match (is_crashing, crashing) {
                (false, _) => sound,
                (true, Crashing::Part) => vec![COMMON, CRASHING, request(&id.to_string())],
                (true, Crashing::Request) => vec![COMMON, document, request("crash")],
            };
            let router = rng.random_range(0..ROUTERS);
            let verdict = routers[router].admit(&contents, |_| router, at(now));
            let is_sent = !matches!(verdict, Verdict::Blocked(..));
            if !is_crashing {
                outcome.sound += 1;
                outcome.sound_refused += usize::from(!is_sent);
            }
            if is_sent {
                let engine = rng.random_range(0..ENGINES);
                runs.push(Run { router, engine, contents, is_crashing, started: now });
            }
        }
        if now % GOSSIP_MS == 0 {
            let records: Vec<_> = routers.iter().map(|router| router.records(at(now))).collect();
            for router in &mut routers {
                router.expire(at(now));
                records.iter().for_each(|records| router.merge(records, at(now)));
            }
        }
    }
    crashes_of.remove(&CRASHING);
    crashes_of.remove(&request("crash"));
    outcome.sound_in_crashes = crashes_of.values().filter(|count| **count >= 3).count();
    outcome
}

#[test_case(Crashing::Part; "part")]
#[test_case(Crashing::Request; "request")]
fn few_engines_crash_and_hardly_any_sound_request_is_refused_in_100_seeds(crashing: Crashing) {
    let outcomes: Vec<_> = (0..100).map(|seed| simulate(seed, crashing)).collect();
    let worst = outcomes.iter().map(|outcome| outcome.crashes).max();
    let refused: usize = outcomes.iter().map(|outcome| outcome.sound_refused).sum();
    let sound: usize = outcomes.iter().map(|outcome| outcome.sound).sum();
    let blamed: usize = outcomes.iter().map(|outcome| outcome.sound_in_crashes).sum();
    println!("{blamed} sound contents in three crashes or more");
    println!("at most {worst:?} crashes; {refused} of {sound} sound requests refused");
    assert!(worst <= Some(20), "{worst:?}");
    assert!(refused * 1_000 < sound, "{refused} of {sound}");
    assert!(blamed > 0, "no sound content was in three crashes");
}

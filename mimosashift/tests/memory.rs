//! Tests of the budget for buffered data, with a naive account beside it.

use std::collections::HashMap;

use mimosashift::memory::{Budget, Buffer, Exhausted};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const LIMIT: usize = 64 * 1024;

/// A limit that large buffers, of more than 64 KiB, can use in part.
const LARGE_LIMIT: usize = 1024 * 1024;

/// A buffer of that many bytes.
fn buffer(budget: &Budget, bytes: usize) -> Buffer {
    let mut buffer = budget.buffer();
    buffer.push(&vec![0; bytes]).unwrap();
    buffer
}

#[test]
fn largest_buffer_is_given_up_for_one_that_grows() {
    let budget = Budget::new(LIMIT);
    let (mut large, mut middle) = (buffer(&budget, 32 * 1024), buffer(&budget, 16 * 1024));
    let mut small = buffer(&budget, 8 * 1024);
    let mut next = buffer(&budget, 8 * 1024);
    assert_eq!(next.push(&[0; 8 * 1024]), Ok(()));
    assert_eq!(large.push(&[0; 1]), Err(Exhausted));
    assert_eq!((middle.push(&[]), small.push(&[])), (Ok(()), Ok(())));
    assert_eq!(budget.usage().given_up, 1);
}

#[test]
fn largest_buffer_gives_up_itself() {
    let budget = Budget::new(LIMIT);
    let (mut large, mut small) = (buffer(&budget, 32 * 1024), buffer(&budget, 16 * 1024));
    assert_eq!(large.push(&[0; 32 * 1024]), Err(Exhausted));
    assert_eq!(small.push(&[0; 1]), Ok(()));
}

#[test]
fn complete_bytes_are_charged_until_they_are_dropped_and_not_given_up() {
    let budget = Budget::new(LIMIT);
    let complete = buffer(&budget, LIMIT).finish().unwrap();
    let copy = complete.clone();
    assert_eq!(budget.buffer().push(&[0; 1]), Err(Exhausted));
    drop(complete);
    assert_eq!((copy.len(), budget.usage().bytes), (LIMIT, LIMIT));
    drop(copy);
    assert_eq!(budget.usage().bytes, 0);
    assert_eq!(budget.buffer().push(&[0; 1]), Ok(()));
}

#[test]
fn large_answers_that_are_not_read_leave_memory_to_small_buffers() {
    let budget = Budget::new(LARGE_LIMIT);
    let answers: Vec<_> = (0..6).map(|_| buffer(&budget, LARGE_LIMIT / 8).finish()).collect();
    assert!(answers.iter().all(Result::is_ok));
    assert_eq!(budget.buffer().push(&[0; LARGE_LIMIT / 8]), Err(Exhausted));
    let small: Vec<_> = (0..4).map(|_| buffer(&budget, 64 * 1024).finish()).collect();
    assert!(small.iter().all(Result::is_ok));
    assert_eq!(budget.buffer().push(&[0; 1]), Err(Exhausted));
}

#[test]
fn revoked_charge_wakes_its_owner() {
    let budget = Budget::new(LIMIT);
    let large = buffer(&budget, LIMIT);
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(async {
        let revoked = std::pin::pin!(large.revoked());
        let mut revoked = Polled(revoked);
        assert!(!revoked.is_ready().await);
        let _small = buffer(&budget, 1_024);
        assert!(revoked.is_ready().await);
    });
}

/// A future that is polled once at a time.
struct Polled<F>(F);

impl<F: Future + Unpin> Polled<F> {
    async fn is_ready(&mut self) -> bool {
        std::future::poll_fn(|cx| {
            std::task::Poll::Ready(std::pin::Pin::new(&mut self.0).poll(cx).is_ready())
        })
        .await
    }
}

/// Random buffers grow, are completed and dropped; those that were given up are dropped at any
/// later time.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn charges_never_exceed_the_limit_by_more_than_a_quarter(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let budget = Budget::new(LIMIT);
    let (mut growing, mut complete) = (HashMap::new(), Vec::new());
    let mut given_up = 0;
    for step in 0..20_000_u32 {
        match rng.random_range(0..10) {
            0 => drop(growing.insert(step, budget.buffer())),
            1 if !complete.is_empty() => {
                drop(complete.swap_remove(rng.random_range(0..complete.len())));
            }
            choice => {
                let keys: Vec<u32> = growing.keys().copied().collect();
                let Some(key) = keys.get(rng.random_range(0..keys.len().max(1))) else { continue };
                if choice == 2 {
                    complete.extend(growing.remove(key).unwrap().finish());
                } else if growing.get_mut(key).unwrap().push(&[0; 700]).is_err() {
                    given_up += 1;
                    growing.remove(key);
                }
            }
        }
        let held: usize = complete.iter().map(bytes_len).sum();
        let buffered: usize = growing.values().map(Buffer::len).sum();
        let usage = budget.usage();
        assert!(held + buffered <= usage.bytes, "{held} and {buffered} of {usage:?}");
        assert!(usage.bytes <= LIMIT + LIMIT / 4, "{usage:?}");
    }
    assert!(given_up > 0);
    drop((growing, complete));
    assert_eq!(budget.usage().bytes, 0);
}

fn bytes_len(bytes: &hyper::body::Bytes) -> usize {
    bytes.len()
}

//! Tests of the ports of a testbed.

use std::collections::HashSet;

use mimosastandin::testbed::free_address;

/// Ports that the system gives out for outgoing connections.
fn ephemeral_ports() -> std::ops::RangeInclusive<u16> {
    let text = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap();
    let bounds: Vec<u16> = text.split_whitespace().map(|port| port.parse().unwrap()).collect();
    bounds[0]..=bounds[1]
}

#[test]
fn connections_cannot_take_ports_of_routers_before_they_are_bound() {
    let threads: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(|| (0..50).map(|_| free_address().unwrap()).collect::<Vec<_>>())
        })
        .collect();
    let addresses: Vec<_> = threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
    let distinct: HashSet<_> = addresses.iter().collect();
    assert_eq!(distinct.len(), addresses.len(), "an address was returned twice");
    let ephemeral = ephemeral_ports();
    let taken: Vec<_> = addresses.iter().filter(|a| ephemeral.contains(&a.port())).collect();
    assert!(taken.is_empty(), "{taken:?} may be taken by a connection");
}

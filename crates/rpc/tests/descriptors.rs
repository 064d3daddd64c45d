//! A listener while no file descriptor is available. The test has its own file, and so its own process, since the limit
//! applies to the whole process.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use shalereel_reactor::{now, Nanos, SECOND};
use shalereel_rpc::{ConnectionLimits, Hub, Input};

/// Waits until the expected number of connections are accepted or a second has passed; returns the number accepted.
fn accepted(hub: &mut Hub<(), ()>, expected: usize) -> usize {
    let (until, deadline) = (now() + SECOND, Instant::now() + Duration::from_secs(1));
    let mut count = 0;
    while count < expected && Instant::now() < deadline {
        let inputs = hub.wait(Some(until)).unwrap();
        count += inputs.iter().filter(|input| matches!(input, Input::Opened { .. })).count();
    }
    count
}

/// Guards against a listener that, after a lack of descriptors, accepts no peer until a connection ends, although descriptors
/// are available again.
#[test]
fn peers_are_accepted_once_descriptors_are_available_again() {
    let limits = ConnectionLimits {
        max_message_bytes: 1 << 20,
        max_concurrent_calls: 0,
        max_unsent_bytes: 1 << 20,
        max_held_bytes: usize::MAX,
        max_bytes_per_wait: usize::MAX,
        message_timeout: Nanos::MAX / 2,
        user_timeout: 10 * SECOND,
        retry_delay: SECOND / 20,
    };
    let mut hub: Hub<(), ()> = Hub::new(limits).unwrap();
    let (_, address) = hub.listen_plain("127.0.0.1:0".parse().unwrap(), ()).unwrap();
    let _accepted = TcpStream::connect(address).unwrap();
    assert_eq!(accepted(&mut hub, 1), 1);
    let _waiting = TcpStream::connect(address).unwrap();
    let limit = getrlimit(Resource::Nofile);
    // The limit is below the number of open descriptors, so no new one is available.
    setrlimit(Resource::Nofile, Rlimit { current: Some(3), ..limit }).unwrap();
    let without_descriptors = accepted(&mut hub, 1);
    setrlimit(Resource::Nofile, limit).unwrap();
    assert_eq!(without_descriptors, 0, "accepted without a descriptor");
    assert_eq!(accepted(&mut hub, 1), 1, "not accepted although descriptors are available again");
}

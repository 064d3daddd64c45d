//! A listener for which the kernel has no descriptor for a while. Alone in its file: the limit is the
//! process's.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use shalereel_reactor::{now, SECOND};
use shalereel_rpc::{ConnectionLimits, Hub, Input};

/// Waits until so many connections are accepted, or a second has passed; how many are.
fn accepted(hub: &mut Hub<(), ()>, expected: usize) -> usize {
    let (until, by) = (now() + SECOND, Instant::now() + Duration::from_secs(1));
    let mut count = 0;
    while count < expected && Instant::now() < by {
        let inputs = hub.wait(Some(until)).unwrap();
        count += inputs.iter().filter(|input| matches!(input, Input::Opened { .. })).count();
    }
    count
}

/// Guards against a listener that accepts nobody until a connection ends, though descriptors are available
/// again.
#[test]
fn peers_are_accepted_once_descriptors_are_available_again() {
    let limits = ConnectionLimits {
        max_message_bytes: 1 << 20,
        max_concurrent_calls: 0,
        max_unsent_bytes: 1 << 20,
        user_timeout: 10 * SECOND,
        retry_delay: SECOND / 20,
    };
    let mut hub: Hub<(), ()> = Hub::new(limits).unwrap();
    let (_, address) = hub.listen_plain("127.0.0.1:0".parse().unwrap(), ()).unwrap();
    let _accepted = TcpStream::connect(address).unwrap();
    assert_eq!(accepted(&mut hub, 1), 1);
    let _waiting = TcpStream::connect(address).unwrap();
    let limit = getrlimit(Resource::Nofile);
    // Fewer than are open already: none can be had.
    setrlimit(Resource::Nofile, Rlimit { current: Some(3), ..limit }).unwrap();
    let without_descriptors = accepted(&mut hub, 1);
    setrlimit(Resource::Nofile, limit).unwrap();
    assert_eq!(without_descriptors, 0, "no descriptor was to be had");
    assert_eq!(accepted(&mut hub, 1), 1, "the lack is over");
}

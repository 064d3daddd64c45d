//! A listener that the kernel refuses a descriptor for a moment. Alone in its file: the limit is the process's.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use shalereel_reactor::{now, SECOND};
use shalereel_rpc::{Bounds, Hub, Input};

/// Turns the loop until so many connections were opened, or a second has passed.
fn opened(hub: &mut Hub<(), ()>, wanted: usize) -> usize {
    let (until, by) = (now() + SECOND, Instant::now() + Duration::from_secs(1));
    let mut count = 0;
    while count < wanted && Instant::now() < by {
        let inputs = hub.wait(Some(until)).unwrap();
        count += inputs.iter().filter(|input| matches!(input, Input::Opened { .. })).count();
    }
    count
}

#[test]
fn a_momentary_lack_of_descriptors_keeps_nobody_out_though_no_connection_ends() {
    let bounds =
        Bounds { message: 1 << 20, calls: 0, unread: 1 << 20, silence: 10 * SECOND, retry: SECOND / 20 };
    let mut hub: Hub<(), ()> = Hub::new(bounds).unwrap();
    let (_, address) = hub.listen_plain("127.0.0.1:0".parse().unwrap(), ()).unwrap();
    let _stands = TcpStream::connect(address).unwrap();
    assert_eq!(opened(&mut hub, 1), 1);
    let _waits = TcpStream::connect(address).unwrap();
    let limit = getrlimit(Resource::Nofile);
    // Fewer than are open already: none can be had.
    setrlimit(Resource::Nofile, Rlimit { current: Some(3), ..limit }).unwrap();
    let refused = opened(&mut hub, 1);
    setrlimit(Resource::Nofile, limit).unwrap();
    assert_eq!(refused, 0, "no descriptor was to be had");
    assert_eq!(opened(&mut hub, 1), 1, "the lack is over");
}

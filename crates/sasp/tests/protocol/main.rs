//! Tests of SASP: the encoding of messages, and the workload manager.

mod codec;
mod session;

use shalereel_sasp::{Group, Member};

fn member(port: u16) -> Member {
    Member { protocol: 6, port, address: "::ffff:127.0.0.1".parse().unwrap(), label: b"m".to_vec() }
}

fn group(balancer: &str, name: &str) -> Group {
    Group { balancer: balancer.into(), name: name.into() }
}

//! A line of a table: one server with its address and weight.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use shalereel::interface::ServerId;
use xxhash_rust::xxh3::xxh3_128_with_seed;

/// The integer that stands for a weight of 1 in a line. Weights in lines are integers, at least 1.
pub const UNIT_WEIGHT: f64 = 10_000.0;

/// One server in a table, as proxies hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line {
    /// Address that requests are sent to.
    pub address: SocketAddr,
    /// Weight in units of 1/10,000, at least 1.
    pub weight: u32,
    /// Whether the server is draining: it receives no new requests.
    pub draining: bool,
    /// Number that identifies the current start of the server. It is not sent to proxies, and no digest covers it.
    pub incarnation: u64,
}

/// The lines of a table, by server.
pub type Lines = BTreeMap<ServerId, Line>;

impl Line {
    /// Hash (XXH3, 128 bits) of the fields that a proxy knows.
    pub(crate) fn hash(&self, server: ServerId, salt: u64) -> u128 {
        let ip = match self.address {
            SocketAddr::V4(address) => address.ip().to_ipv6_mapped(),
            SocketAddr::V6(address) => *address.ip(),
        };
        let mut bytes = [0; 27];
        bytes[..4].copy_from_slice(&server.to_le_bytes());
        bytes[4..20].copy_from_slice(&ip.octets());
        bytes[20..22].copy_from_slice(&self.address.port().to_le_bytes());
        bytes[22..26].copy_from_slice(&self.weight.to_le_bytes());
        bytes[26] = u8::from(self.draining);
        xxh3_128_with_seed(&bytes, salt)
    }
}

/// Sets or removes a server's line; returns its line before.
pub(crate) fn replace_line(lines: &mut Lines, server: ServerId, line: Option<Line>) -> Option<Line> {
    match line {
        Some(line) => lines.insert(server, line),
        None => lines.remove(&server),
    }
}

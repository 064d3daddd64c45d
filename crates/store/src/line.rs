//! A line of a table: one server with its address and weight.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use shalereel::interface::ServerId;
use xxhash_rust::xxh3::xxh3_128_with_seed;

/// A weight of 1 as lines have it: weights are whole numbers, at least 1.
pub const UNIT_WEIGHT: f64 = 10_000.0;

/// One server in a table, as proxies hold it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line {
    /// Where requests go.
    pub address: SocketAddr,
    /// In 1/10,000, at least 1.
    pub weight: u32,
    /// No new requests go there.
    pub draining: bool,
    /// Number of the server's start. Proxies do not know it, and no digest covers it.
    pub incarnation: u64,
}

/// The lines of a table.
pub type Lines = BTreeMap<ServerId, Line>;

impl Line {
    /// Hash (XXH3, 128 bits) of what a proxy knows of the line.
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

/// Sets or removes a line; gives the one before.
pub(crate) fn replace_line(lines: &mut Lines, server: ServerId, line: Option<Line>) -> Option<Line> {
    match line {
        Some(line) => lines.insert(server, line),
        None => lines.remove(&server),
    }
}

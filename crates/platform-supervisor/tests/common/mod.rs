//! Helpers for the tests of this package: entries of the endpoint list, configuration files, and lines of the
//! protocol.

// Each test binary uses only some of these helpers.
#![allow(dead_code)]

use serde_json::{json, Value};
use shalereel_platform_supervisor::{Clocks, EndpointList, ServerRegistry};

/// Nanoseconds per millisecond.
pub const MS: u64 = 1_000_000;

/// Window of the limit on messages to one proxy, in ms.
pub const MESSAGE_WINDOW_MS: u64 = 10_000;

/// The head of discovery's response to a watch.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The chunk that discovery sends when nothing has changed.
pub const EMPTY_LINE_CHUNK: &str = "1\r\n\n\r\n";

pub fn server_name(index: u32) -> String {
    format!("s{index}")
}

/// Number of cells over which listed servers are spread.
#[derive(Clone, Copy, Debug)]
pub struct Cells(pub u32);

/// An entry of the endpoint list.
pub fn list_entry(index: u32, state: &str, cells: Cells, started_ms: f64) -> Value {
    json!({"id": server_name(index), "addr": "127.0.0.9:5000", "zone": "north", "kind": "big",
        "cell": index % cells.0, "state": state, "weight": 1.0, "started_ms": started_ms})
}

/// An endpoint list with only these changes.
pub fn delta(version: u64, entries: Vec<Value>) -> Value {
    json!({"version": version, "full": false, "servers": entries})
}

/// A registry without servers, configured with the locality and kind of [`list_entry`].
pub fn empty_registry() -> ServerRegistry {
    ServerRegistry::new(vec!["north".into()], vec!["big".into()])
}

/// A registry of servers named s1, s2 and so on, whose identifiers are 1, 2 and so on.
pub fn registry_with_servers(servers: u32, started_ms: impl Fn(u32) -> f64) -> ServerRegistry {
    let entry = |index| list_entry(index, "Ready", Cells(1), started_ms(index));
    let list = EndpointList { version: 1, is_full: true, entries: (1..=servers).map(entry).collect() };
    let mut registry = empty_registry();
    registry.apply(list, Clocks { now: 1, unix_ms: 9e9 }, None);
    registry
}

/// An endpoint list as a chunk of discovery's response.
pub fn list_chunk(list: &Value) -> String {
    let line = format!("{list}\n");
    format!("{:x}\r\n{line}\r\n", line.len())
}

/// The line with which a proxy joins.
pub fn hello_line(proxy: u32, is_new: bool) -> String {
    format!("{}\n", json!({"t": "hello", "id": proxy, "site": "north", "rps": 1.0, "new": is_new}))
}

/// The line with which a proxy acknowledges an ack request.
pub fn ack_line(proxy: u32, serial: u64, ms: f64) -> String {
    format!("{}\n", json!({"t": "ack", "id": proxy, "seq": serial, "ms": ms}))
}

/// The values that differ between the configuration files of the tests.
pub struct ConfigOptions {
    pub servers: u32,
    pub cells: Cells,
    pub proxies: u32,
    pub supervisors: u32,
    pub memory_mb: u32,
    pub sockets: u32,
    pub lines_per_s: f64,
    pub channel_capacity: f64,
    pub message_overhead: f64,
    pub mean_transit_ms: f64,
    pub worst_transit_ms: f64,
    pub drain_grace_ms: f64,
    /// Maximum number of messages to one proxy within [`MESSAGE_WINDOW_MS`]; 0: no limit.
    pub message_limit: u32,
    /// Which load columns exist and how the platform delivers load reports.
    pub load_info: Value,
    /// Whether health checks are allowed.
    pub permissions: Value,
}

/// A configuration file whose known endpoint list has version 3.
pub fn config_file(options: &ConfigOptions) -> Value {
    let entry = |index| list_entry(index, "Ready", options.cells, 0.0);
    let servers: Vec<Value> = (0..options.servers).map(entry).collect();
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "00000000000000ff",
    "limits": {"cores": 0.5, "memory_mb": options.memory_mb, "sockets": options.sockets},
    "known": {"version": 3, "full": true, "servers": servers},
    "settings": {
        "classes": [{"deadline_ms": 3000.0, "effect": "pure", "name": "look", "slo_ms": 1000.0, "worth": 1.0}],
        "family_info": {"admit": "off", "backlog": options.channel_capacity, "cycle_ms": 1000.0,
            "empty_for_ms": 3000.0, "first_wait": 0.8, "lines_per_s": options.lines_per_s,
            "reloads_max": options.message_limit, "messages_over_ms": MESSAGE_WINDOW_MS as f64,
            "overhead": options.message_overhead, "proxies": options.proxies,
            "push_delay_ms": options.mean_transit_ms, "retry_default": 0,
            "worst_transit_ms": options.worst_transit_ms},
        "fleet_size": options.supervisors, "invariants": {"cold_from": 0.3, "cold_ms": 9000.0,
            "drain_grace_ms": options.drain_grace_ms, "fall_ms": 2000.0, "tip_multiple": 2.5},
        "kinds": ["big"], "load_info": options.load_info, "localities": ["north"],
        "locality": 0, "me": 0, "membership_mode": "pushed", "permissions": options.permissions,
        "resolution_ms": 5.0, "weights": "nominal"}})
}

//! Discovery: the endpoint list, and the watches on it.

use std::net::{SocketAddr, TcpListener};

use serde_json::{json, Value};
use shalereel_reactor::{Reactor, Token};

use crate::connection::Connection;
use crate::process::{KINDS, LOCALITIES};

/// Number of servers in each cell.
const SERVERS_PER_CELL: usize = 5;

/// The name of a server.
pub fn server_name(server: usize) -> String {
    format!("s-{server:08x}")
}

/// The server with a name.
pub fn server_by_name(name: &str) -> Option<usize> {
    usize::from_str_radix(name.strip_prefix("s-")?, 16).ok()
}

/// The locality of a server.
pub fn locality_of(server: usize) -> usize {
    server % LOCALITIES.len()
}

/// A server in the endpoint list.
#[derive(Clone, Copy, Debug)]
struct Entry {
    is_ready: bool,
    started_ms: f64,
    /// Version of the list in which it last changed.
    changed_in: u64,
}

/// A client of discovery, which becomes a watch when its request is complete.
struct Watch {
    connection: Connection,
    is_open: bool,
}

pub struct Discovery {
    listener: TcpListener,
    listener_token: Token,
    pub address: SocketAddr,
    version: u64,
    entries: Vec<Entry>,
    watches: Vec<Watch>,
}

impl Discovery {
    /// Lists all servers as ready for long.
    pub fn new(servers: usize, reactor: &mut Reactor) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let version = 40;
        Discovery {
            address: listener.local_addr().unwrap(),
            listener_token: reactor.add(&listener).unwrap(),
            listener,
            version,
            entries: vec![Entry { is_ready: true, started_ms: 0.0, changed_in: version }; servers],
            watches: Vec::new(),
        }
    }

    /// The whole list.
    pub fn full_list(&self) -> Value {
        self.list(true, |_| true)
    }

    fn list(&self, is_full: bool, is_included: impl Fn(&Entry) -> bool) -> Value {
        let included = self.entries.iter().enumerate().filter(|(_, entry)| is_included(entry));
        let servers: Vec<Value> = included.map(|(server, entry)| entry_json(server, entry)).collect();
        json!({"version": self.version, "full": is_full, "servers": servers})
    }

    /// Lists these servers anew and writes the change to all watches.
    pub fn change(&mut self, servers: &[(usize, bool)], started_ms: Option<f64>) {
        self.version += 1;
        for &(server, is_ready) in servers {
            let entry = &mut self.entries[server];
            entry.is_ready = is_ready;
            entry.changed_in = self.version;
            if is_ready {
                entry.started_ms = started_ms.unwrap_or(entry.started_ms);
            }
        }
        let version = self.version;
        let delta = chunk(&self.list(false, |entry| entry.changed_in == version).to_string());
        self.write(&delta);
    }

    /// Tells all watches that nothing has changed.
    pub fn write_empty_line(&mut self) {
        self.write(&chunk(""));
    }

    /// Resets the connections of all watches.
    pub fn reset_watches(&mut self) {
        self.watches.drain(..).for_each(|watch| watch.connection.reset());
    }

    fn write(&mut self, bytes: &[u8]) {
        for watch in self.watches.iter_mut().filter(|watch| watch.is_open) {
            watch.connection.send(bytes);
        }
    }

    /// Handles connections that are ready.
    pub fn ready(&mut self, tokens: &[Token], reactor: &mut Reactor) {
        if tokens.contains(&self.listener_token) {
            while let Ok((stream, _)) = self.listener.accept() {
                let connection = Connection::new(stream, reactor);
                self.watches.push(Watch { connection, is_open: false });
            }
        }
        for mut watch in std::mem::take(&mut self.watches) {
            let (lines, is_connected) = watch.connection.read_lines();
            if let Some(after) = lines.iter().find_map(|line| requested_version(line)) {
                self.open(&mut watch, after);
            }
            watch.connection.flush();
            if is_connected {
                self.watches.push(watch);
            }
        }
    }

    /// Answers a watch with the changes after a version, or with the full list.
    fn open(&self, watch: &mut Watch, after: Option<u64>) {
        watch.is_open = true;
        watch.connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        let list = match after {
            Some(after) => self.list(false, |entry| entry.changed_in > after),
            None => self.full_list(),
        };
        watch.connection.send(&chunk(&list.to_string()));
    }
}

/// The version after which a request line asks for changes: `Some(None)` if it asks for the full list, `None`
/// if it is no request line.
fn requested_version(line: &[u8]) -> Option<Option<u64>> {
    let line = std::str::from_utf8(line).ok()?;
    let target = line.strip_prefix("GET ")?.split(' ').next()?;
    let after = target.split("after=").nth(1);
    Some(after.and_then(|after| after.split('&').next()?.parse().ok()))
}

fn entry_json(server: usize, entry: &Entry) -> Value {
    json!({"id": server_name(server), "addr": "127.0.0.1:9", "zone": LOCALITIES[locality_of(server)],
        "kind": KINDS[server % KINDS.len()], "cell": server / SERVERS_PER_CELL,
        "state": if entry.is_ready { "Ready" } else { "Terminating" }, "weight": 1.0,
        "started_ms": entry.started_ms})
}

/// A line as a chunk of a response.
fn chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}

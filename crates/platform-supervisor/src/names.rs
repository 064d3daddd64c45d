//! The platform's names and the module's numbers: servers get a number when they are first listed and lose it when
//! they are let go. A number is never given twice.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use shalereel::interface::{Endpoint, Nanos, Readiness, ServerId, WatchEvent};

use crate::ages::{age, Evidence};
use crate::words::{List, Listed, State};

/// One server as listed last.
#[derive(Clone, Debug)]
pub struct Server {
    pub name: Arc<str>,
    pub address: Option<SocketAddr>,
    pub row: Endpoint,
    started_ms: f64,
    /// It was not ready before and is again: someone may have shut it out meanwhile.
    pub returned: bool,
    /// Not ready since.
    pub left_at: Option<Nanos>,
}

#[derive(Debug)]
pub struct Names {
    localities: Vec<String>,
    kinds: Vec<String>,
    numbers: HashMap<Arc<str>, ServerId>,
    servers: BTreeMap<ServerId, Server>,
    last: ServerId,
    pub version: u64,
    /// Unix time at the monotonic clock's beginning, as it was at the first list: a later step of the wall clock
    /// shows against it.
    epoch_ms: Option<f64>,
}

/// The two clocks at one moment: the module's, and Unix time.
#[derive(Clone, Copy, Debug)]
pub struct Clocks {
    pub now: Nanos,
    pub unix_ms: f64,
}

/// The module's clock runs ahead of the monotonic one by so much, so that starts before this machine's can be told.
const AHEAD: Nanos = 24 * 3600 * 1_000_000_000;

impl Clocks {
    /// The module's time.
    pub fn module(&self) -> Nanos {
        self.now + AHEAD
    }

    /// Unix time at the monotonic clock's beginning: it changes only when the wall clock is stepped.
    fn epoch_ms(&self) -> f64 {
        self.unix_ms - self.now as f64 / 1e6
    }
}

impl Names {
    pub fn new(localities: Vec<String>, kinds: Vec<String>) -> Self {
        Names {
            localities,
            kinds,
            numbers: HashMap::new(),
            servers: BTreeMap::new(),
            last: 0,
            version: 0,
            epoch_ms: None,
        }
    }

    pub fn number(&self, name: &str) -> Option<ServerId> {
        self.numbers.get(name).copied()
    }

    /// Was there ever a server of this number?
    pub fn was_given(&self, server: ServerId) -> bool {
        (1..=self.last).contains(&server)
    }

    pub fn get(&self, server: ServerId) -> Option<&Server> {
        self.servers.get(&server)
    }

    pub fn iter(&self) -> impl Iterator<Item = (ServerId, &Server)> {
        self.servers.iter().map(|(&number, server)| (number, server))
    }

    pub fn locality(&self, name: &str) -> Option<u16> {
        self.localities.iter().position(|known| known == name).map(|at| at as u16)
    }

    /// All that is known, for a module that begins anew: proxies may still hold what is gone.
    pub fn rows(&self) -> Vec<Endpoint> {
        self.servers.values().map(|server| server.row).collect()
    }

    /// Takes a list or its changes in, and tells the module's news and what could not be read. An entry that
    /// cannot be read leaves the server as it was. `heard` is when discovery was last heard before, if it was.
    pub fn take(&mut self, list: List, clocks: Clocks, heard: Option<Nanos>) -> (WatchEvent, Vec<String>) {
        let first_epoch_ms = *self.epoch_ms.get_or_insert(clocks.epoch_ms());
        let evidence = Evidence {
            unix_ms: clocks.unix_ms,
            unix_by_first_ms: first_epoch_ms + clocks.now as f64 / 1e6,
            since_heard: heard.map(|heard| clocks.now.saturating_sub(heard)),
        };
        let mut faults = Vec::new();
        let mut rows: BTreeMap<ServerId, Endpoint> = BTreeMap::new();
        for entry in list.servers {
            // Kept before the entry is read: a whole list must not drop a server whose entry is spoilt.
            let named = entry.get("id").and_then(|id| id.as_str()).and_then(|id| self.number(id));
            match serde_json::from_value::<Listed>(entry)
                .map_err(|error| error.to_string())
                .and_then(|entry| self.list(entry, clocks, &evidence))
            {
                Ok(row) => rows.extend(row.map(|row| (row.server, row))),
                Err(fault) => {
                    faults.push(fault);
                    let kept = named.and_then(|number| self.get(number));
                    rows.extend(kept.filter(|_| list.full).map(|kept| (kept.row.server, kept.row)));
                }
            }
        }
        self.version = list.version;
        if list.full {
            for (number, server) in &mut self.servers {
                if !rows.contains_key(number) {
                    server.row.readiness = Readiness::Removed;
                    server.left_at.get_or_insert(clocks.now);
                }
            }
        }
        let rows = rows.into_values().collect();
        (if list.full { WatchEvent::Full(rows) } else { WatchEvent::Delta(rows) }, faults)
    }

    /// Nothing where a server has gone that was never heard of: it came and went between two lists.
    fn list(
        &mut self,
        entry: Listed,
        clocks: Clocks,
        evidence: &Evidence,
    ) -> Result<Option<Endpoint>, String> {
        let place = |list: &[String], word: &str| list.iter().position(|known| known == word);
        let Listed { id, .. } = &entry;
        let locality = place(&self.localities, &entry.zone)
            .ok_or_else(|| format!("server {id}: unknown zone {:?}", entry.zone))?;
        let kind = place(&self.kinds, &entry.kind)
            .ok_or_else(|| format!("server {id}: unknown kind {:?}", entry.kind))?;
        if !(entry.weight >= 0.0 && entry.weight.is_finite() && entry.started_ms.is_finite()) {
            return Err(format!("server {id}: weight {} or start {}", entry.weight, entry.started_ms));
        }
        let address = entry.addr.parse().ok();
        let number = match self.number(id) {
            Some(number) => number,
            None if entry.state == State::Gone => return Ok(None),
            None => {
                self.last += 1;
                let name: Arc<str> = Arc::from(id.as_str());
                self.numbers.insert(name.clone(), self.last);
                tracing::debug!(server = %name, number = self.last, "numbered");
                let row = Endpoint { server: self.last, ..Endpoint::default() };
                let (started_ms, returned) = (f64::NAN, entry.started_ms > 0.0);
                let server = Server { name, address, row, started_ms, returned, left_at: None };
                self.servers.insert(self.last, server);
                self.last
            }
        };
        let server = self.servers.get_mut(&number).ok_or("a number without a server")?;
        if server.started_ms != entry.started_ms {
            // Once for each start: a step of the wall clock must not look like another.
            let age = age(entry.started_ms, evidence);
            server.row.started_at = age.map_or(0, |age| clocks.module().saturating_sub(age));
            server.returned |= entry.started_ms > 0.0;
            server.started_ms = entry.started_ms;
        }
        let readiness = match entry.state {
            State::Ready => Readiness::Ready,
            State::Terminating => Readiness::Draining,
            State::Gone => Readiness::Removed,
        };
        if readiness == Readiness::Ready {
            server.returned |= server.left_at.take().is_some();
        } else {
            server.left_at.get_or_insert(clocks.now);
        }
        server.address = address;
        server.row = Endpoint {
            server: number,
            locality: locality as u16,
            kind: kind as u16,
            cell: entry.cell,
            readiness,
            weight: entry.weight,
            started_at: server.row.started_at,
        };
        Ok(Some(server.row))
    }

    /// Lets go of servers that have been gone since before then and that nobody needs any more, and names them.
    pub fn let_go(&mut self, before: Nanos, needed: impl Fn(ServerId) -> bool) -> Vec<ServerId> {
        let gone = |server: &Server| {
            server.row.readiness == Readiness::Removed && server.left_at.is_some_and(|at| at < before)
        };
        let found = self.iter().filter(|(number, server)| gone(server) && !needed(*number));
        let found: Vec<ServerId> = found.map(|(number, _)| number).collect();
        for number in &found {
            if let Some(server) = self.servers.remove(number) {
                self.numbers.remove(&server.name);
            }
        }
        found
    }
}

//! The judge of a run. It knows only the requests that proxies send, what discovery has written, and what
//! entered the channel.

use std::collections::BTreeMap;

use shalereel_reactor::{Nanos, MILLI, SECOND};

/// Tolerance that the protocol grants on its time limits.
const TOLERANCE: Nanos = 300 * MILLI;
/// Time after a supervisor's first answer at which the time limits start.
const START_UP: Nanos = SECOND;
/// Maximum number of violations that are described.
const MAX_DESCRIPTIONS: usize = 5;

/// The limits of the rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    pub drain_grace: Nanos,
    pub max_unserved: Nanos,
    /// Time after its start from which a server counts as warm.
    pub slow_start: Nanos,
    /// Lines that may wait in the channel.
    pub channel_capacity: f64,
}

/// A server as discovery lists it.
#[derive(Clone, Copy, Debug)]
pub enum Listing {
    /// Ready, and started at this time; `None` if it started long ago.
    Ready {
        started_at: Option<Nanos>,
    },
    Draining,
}

/// What the judge has seen of one proxy.
#[derive(Clone, Copy, Debug, Default)]
struct ProxyService {
    /// Since when its requests have found no server; `None` if the last one found one.
    unserved_since: Option<Nanos>,
}

/// Violations of the rules, and the measures closest to them.
#[derive(Debug)]
pub struct Judge {
    limits: RuleLimits,
    started_at: Nanos,
    supervisor_alive_at: Nanos,
    /// Servers that are not listed as ready, and since when.
    unready_since: BTreeMap<usize, Nanos>,
    /// When each server that is listed as ready counts as warm.
    warm_at: BTreeMap<usize, Nanos>,
    proxies: BTreeMap<u32, ProxyService>,
    /// Longest time from a drain until the last request to the server.
    pub latest_drain: Nanos,
    pub max_unserved: Nanos,
    pub max_waiting_lines: f64,
    pub requests: u64,
    pub late_requests: u64,
    pub violations: u64,
    pub descriptions: Vec<String>,
}

impl Judge {
    /// A judge who knows these servers as ready and warm.
    pub fn new(limits: RuleLimits, servers: usize, started_at: Nanos) -> Self {
        Judge {
            limits,
            started_at,
            supervisor_alive_at: started_at,
            unready_since: BTreeMap::new(),
            warm_at: (0..servers).map(|server| (server, started_at)).collect(),
            proxies: BTreeMap::new(),
            latest_drain: 0,
            max_unserved: 0,
            max_waiting_lines: 0.0,
            requests: 0,
            late_requests: 0,
            violations: 0,
            descriptions: Vec::new(),
        }
    }

    /// A supervisor has first answered after its start.
    pub fn supervisor_alive(&mut self, now: Nanos) {
        self.supervisor_alive_at = now;
    }

    /// Discovery lists a server.
    pub fn listed(&mut self, server: usize, listing: Listing, now: Nanos) {
        match listing {
            Listing::Ready { started_at } => {
                self.unready_since.remove(&server);
                let warm_at = started_at.map_or(now, |started_at| started_at + self.limits.slow_start);
                self.warm_at.insert(server, warm_at);
            }
            Listing::Draining => {
                self.unready_since.entry(server).or_insert(now);
                self.warm_at.remove(&server);
            }
        }
    }

    /// A joined proxy sends a request to a server.
    pub fn request_sent(&mut self, proxy: u32, joined_at: Nanos, server: usize, now: Nanos) {
        self.requests += 1;
        self.proxies.entry(proxy).or_default().unserved_since = None;
        let Some(&listed_at) = self.unready_since.get(&server) else { return };
        let since = listed_at.max(joined_at).max(self.supervisor_alive_at + START_UP);
        let span = now.saturating_sub(since);
        self.latest_drain = self.latest_drain.max(span);
        if span > self.limits.drain_grace + TOLERANCE {
            self.late_requests += 1;
            self.violation(now, || {
                format!(
                    "drain: proxy {proxy} sends to server {server} {:.2} s after it counts as told",
                    seconds(span)
                )
            });
        }
    }

    /// A joined proxy has a request, and no server to send it to. The rule counts only the time in which a
    /// warm server is listed.
    pub fn no_server(&mut self, proxy: u32, joined_at: Nanos, now: Nanos) {
        self.requests += 1;
        if self.warm_at.values().all(|&warm_at| warm_at > now) {
            self.proxies.entry(proxy).or_default().unserved_since = None;
            return;
        }
        let service = self.proxies.entry(proxy).or_default();
        let since = *service.unserved_since.get_or_insert(now);
        let span = now.saturating_sub(since.max(joined_at).max(self.supervisor_alive_at + START_UP));
        self.max_unserved = self.max_unserved.max(span);
        if span > self.limits.max_unserved + TOLERANCE {
            self.violation(now, || {
                format!("no server: proxy {proxy} has none to pick for {:.2} s", seconds(span))
            });
        }
    }

    /// Lines wait in the channel after another message has entered it.
    pub fn lines_waiting(&mut self, lines: f64, now: Nanos) {
        self.max_waiting_lines = self.max_waiting_lines.max(lines);
        if lines > self.limits.channel_capacity {
            self.violation(now, || format!("channel: {lines:.0} lines wait"));
        }
    }

    /// A rule is broken that the traffic does not show, such as the end of a process.
    pub fn violation(&mut self, now: Nanos, describe: impl FnOnce() -> String) {
        self.violations += 1;
        if self.descriptions.len() < MAX_DESCRIPTIONS {
            let at = seconds(now.saturating_sub(self.started_at));
            self.descriptions.push(format!("{at:.2} s {}", describe()));
        }
    }
}

fn seconds(span: Nanos) -> f64 {
    span as f64 / SECOND as f64
}

//! Load reports of the joined proxies, summed over a report interval into events for the controller. `core` adds the
//! reports of LRS streams and takes the sums. Free of I/O, and makes no decisions.

use std::collections::BTreeMap;

use shalereel::interface::{EndpointReport, Event, LocalityId, Nanos, ProxyId, ServerId};
use shalereel_xds::{ClusterLoad, EndpointLoad, LoadReport};

use crate::endpoints::EndpointList;

/// Sums of the attempts that proxies of one locality made at a server.
#[derive(Debug, Default)]
struct EndpointSums {
    successes: u64,
    failures: u64,
    timed_responses: u64,
    response_time: u128,
    window: Nanos,
    cpu: Option<f64>,
}

/// Sums of the requests of one operation that a proxy received.
#[derive(Debug, Default)]
struct DemandSums {
    total: u64,
    failures: u64,
    window: Nanos,
}

/// A proxy that reports load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportingProxy {
    /// Number of the proxy.
    pub proxy: ProxyId,
    /// Position of its locality among the deployment's localities.
    pub locality: LocalityId,
}

/// Sums of the current report interval. Their number is bounded by servers times localities, and proxies times
/// operations.
#[derive(Debug, Default)]
pub struct LoadReports {
    endpoints: BTreeMap<(ServerId, LocalityId), EndpointSums>,
    demand: BTreeMap<(ProxyId, u16), DemandSums>,
    unlisted_rows: u64,
}

fn saturating_u32(number: u64) -> u32 {
    number.min(u32::MAX.into()) as u32
}

impl LoadReports {
    /// Adds a proxy's report. `operations` are the operations' names, by position.
    pub fn add(
        &mut self,
        reporter: ReportingProxy,
        report: &LoadReport,
        operations: &[String],
        endpoints: &EndpointList,
    ) {
        for cluster in &report.clusters {
            let Some(operation) = operations.iter().position(|name| *name == cluster.cluster) else {
                continue;
            };
            self.add_cluster(reporter, operation as u16, cluster, endpoints);
        }
    }

    fn add_cluster(
        &mut self,
        reporter: ReportingProxy,
        operation: u16,
        cluster: &ClusterLoad,
        endpoints: &EndpointList,
    ) {
        let mut attempts = 0_u64;
        let mut failures = 0_u64;
        for load in &cluster.endpoints {
            let Some(server) = endpoints.server_at(load.address) else {
                self.unlisted_rows += 1;
                continue;
            };
            attempts = attempts.saturating_add(load.successes).saturating_add(load.failures);
            failures = failures.saturating_add(load.failures);
            self.endpoints.entry((server, reporter.locality)).or_default().add(load, cluster.interval);
        }
        // Attempts at servers that were never listed do not count as demand. If a client names no endpoint, its totals
        // count.
        if cluster.endpoints.is_empty() {
            attempts = cluster.issued;
            failures = cluster.failures;
        }
        let demand = self.demand.entry((reporter.proxy, operation)).or_default();
        demand.total = demand.total.saturating_add(attempts).saturating_add(cluster.dropped);
        demand.failures = demand.failures.saturating_add(failures);
        demand.window = demand.window.saturating_add(cluster.interval);
    }

    /// Drops the demand that a proxy has reported in this interval.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.demand.retain(|(reporter, _), _| *reporter != proxy);
    }

    /// Ends the interval, and returns its sums as events.
    pub fn take(&mut self) -> Vec<Event> {
        let endpoints = std::mem::take(&mut self.endpoints);
        let endpoints = endpoints.into_iter().map(|((server, locality), sums)| sums.event(server, locality));
        let demand = std::mem::take(&mut self.demand);
        let demand = demand.into_iter().map(|((proxy, operation), sums)| sums.event(proxy, operation));
        endpoints.chain(demand).collect()
    }

    /// Number of rows since the last call that name servers that were never listed.
    pub fn take_unlisted_rows(&mut self) -> u64 {
        std::mem::take(&mut self.unlisted_rows)
    }
}

impl EndpointSums {
    fn add(&mut self, load: &EndpointLoad, interval: Nanos) {
        self.successes = self.successes.saturating_add(load.successes);
        self.failures = self.failures.saturating_add(load.failures);
        self.timed_responses = self.timed_responses.saturating_add(load.timed_responses);
        self.response_time += u128::from(load.response_time_sum);
        self.window = self.window.max(interval);
        self.cpu = load.metrics.get("cpu").copied().or(self.cpu);
    }

    fn event(self, server: ServerId, locality: LocalityId) -> Event {
        let mean = self.response_time / u128::from(self.timed_responses.max(1));
        Event::EndpointReport(EndpointReport {
            server,
            locality,
            attempts: saturating_u32(self.successes.saturating_add(self.failures)),
            failures: saturating_u32(self.failures),
            response_time: mean.min(Nanos::MAX.into()) as Nanos,
            window: self.window,
            load: self.cpu.into_iter().collect(),
        })
    }
}

impl DemandSums {
    fn event(self, proxy: ProxyId, operation: u16) -> Event {
        Event::DemandReport {
            proxy,
            operation,
            total: saturating_u32(self.total),
            failures: saturating_u32(self.failures),
            window: self.window,
        }
    }
}

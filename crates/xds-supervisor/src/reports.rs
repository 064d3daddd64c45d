//! Load reports of the joined proxies, summed over a cycle into the module's events. Nothing is decided here.

use std::collections::BTreeMap;

use shalereel::interface::{EndpointReport, Event, LocalityId, Nanos, ProxyId, ServerId};
use shalereel_xds::LoadReport;

use crate::endpoints::EndpointList;

#[derive(Debug, Default)]
struct Met {
    succeeded: u64,
    errored: u64,
    timed: u64,
    time: u128,
    window: Nanos,
    cpu: Option<f64>,
}

#[derive(Debug, Default)]
struct Came {
    total: u64,
    lost: u64,
    window: Nanos,
}

/// Sums since the last cycle; no larger than servers times localities, and proxies times operations.
#[derive(Debug, Default)]
pub struct Reports {
    met: BTreeMap<(ServerId, LocalityId), Met>,
    came: BTreeMap<(ProxyId, u16), Came>,
    /// Reports of endpoints that no list ever named.
    pub strangers: u64,
}

fn count(number: u64) -> u32 {
    number.min(u32::MAX.into()) as u32
}

impl Reports {
    /// Adds what one proxy of a locality reports.
    pub fn add(
        &mut self,
        proxy: ProxyId,
        locality: LocalityId,
        report: &LoadReport,
        operations: &[String],
        roster: &EndpointList,
    ) {
        for cluster in &report.clusters {
            let Some(at) = operations.iter().position(|name| *name == cluster.cluster) else { continue };
            let (mut issued, mut errored) = (0_u64, 0_u64);
            for load in &cluster.endpoints {
                let Some(server) = roster.server_at(load.address) else {
                    self.strangers += 1;
                    continue;
                };
                issued = issued.saturating_add(load.successes).saturating_add(load.failures);
                errored = errored.saturating_add(load.failures);
                let met = self.met.entry((server, locality)).or_default();
                met.succeeded = met.succeeded.saturating_add(load.successes);
                met.errored = met.errored.saturating_add(load.failures);
                met.timed = met.timed.saturating_add(load.timed_responses);
                met.time += u128::from(load.response_time_sum);
                met.window = met.window.max(cluster.interval);
                met.cpu = load.metrics.get("cpu").copied().or(met.cpu);
            }
            // Tries at servers that never were are no demand; a client that tells of none by name is believed.
            if cluster.endpoints.is_empty() {
                (issued, errored) = (cluster.issued, cluster.failures);
            }
            let came = self.came.entry((proxy, at as u16)).or_default();
            came.total = came.total.saturating_add(issued).saturating_add(cluster.dropped);
            came.lost = came.lost.saturating_add(errored);
            came.window = came.window.saturating_add(cluster.interval);
        }
    }

    /// What the proxy reported so far counts no more.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.came.retain(|(of, _), _| *of != proxy);
    }

    /// The cycle's sums as events, and a new cycle.
    pub fn take(&mut self) -> Vec<Event> {
        let met = std::mem::take(&mut self.met).into_iter().map(|((server, locality), met)| {
            Event::EndpointReport(EndpointReport {
                server,
                locality,
                attempts: count(met.succeeded.saturating_add(met.errored)),
                failures: count(met.errored),
                response_time: (met.time / u128::from(met.timed.max(1))).min(Nanos::MAX.into()) as Nanos,
                window: met.window,
                load: met.cpu.into_iter().collect(),
            })
        });
        let came = std::mem::take(&mut self.came).into_iter().map(|((proxy, operation), came)| {
            Event::DemandReport {
                proxy,
                operation,
                total: count(came.total),
                failures: count(came.lost),
                window: came.window,
            }
        });
        met.chain(came).collect()
    }
}

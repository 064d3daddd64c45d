//! Load reports on LRS streams, and the work at the end of a report interval.

use std::collections::{BTreeMap, BTreeSet};

use shalereel::interface::{Event, Nanos, TableId};
use shalereel_rpc::{frame, Status};
use shalereel_xds::{LoadReport, LoadReportConfig, NodeInfo};

use super::{Core, Peer, Warning};
use crate::load_reports::ReportingProxy;

impl Core {
    /// Handles a message on an LRS stream.
    pub(super) fn handle_load_report(&mut self, peer: Peer, message: &[u8]) -> Result<(), Status> {
        let report = LoadReport::decode(message)?;
        if let Some(node) = &report.node {
            self.identify_load_stream(peer, node);
        }
        // A proxy that has joined another supervisor reports the load that the other supervisor's tables caused.
        if let Some(&Some(reporter)) = self.load_streams.get(&peer) {
            if self.proxies.contains_key(&reporter.proxy) {
                self.load_reports.add(reporter, &report, &self.deployment.operations, &self.endpoints);
            }
        }
        Ok(())
    }

    /// Assigns the stream to the node that a report names. The first report is answered with the reporting settings.
    fn identify_load_stream(&mut self, peer: Peer, node: &NodeInfo) {
        // An unknown zone counts as the first locality; discovery streams reject such nodes.
        let locality = self.endpoints.locality(&node.zone).unwrap_or(0);
        let proxy = self.proxy_ids.get(&node.id).copied();
        let before = self.load_streams.insert(peer, proxy.map(|proxy| ReportingProxy { proxy, locality }));
        if before == Some(None) {
            let config = LoadReportConfig { interval: self.config.report_interval, by_endpoint: true };
            self.send(peer, frame(&config.encode()));
        }
    }

    /// Passes the interval's load reports to the controller and the group, and closes unresponsive streams.
    pub(super) fn end_report_interval(&mut self, now: Nanos) {
        self.last_report_at = now;
        let reports = self.load_reports.take();
        if let Some(group) = &mut self.group {
            group.handle_load_reports(&reports);
            // The availability of servers also changes without a new endpoint list, when slow starts end and servers
            // are ejected.
            self.servers_changed = true;
        }
        self.update_request_rates(&reports);
        self.events.extend(reports);
        let rows = self.load_reports.take_unlisted_rows();
        if rows > 0 {
            self.warn(Warning::UnlistedServersReported { rows });
        }
        self.close_unresponsive(now);
        self.sasp.on_report_interval();
    }

    fn update_request_rates(&mut self, reports: &[Event]) {
        self.request_rates.clear();
        for report in reports {
            if let Event::DemandReport { proxy, total, window, .. } = report {
                let per_second = f64::from(*total) * 1e9 / (*window).max(1) as f64;
                *self.request_rates.entry(*proxy).or_default() += per_second;
            }
        }
    }

    /// Computes each table's share of all requests from the request rates of the proxies that use it. Proxies that did
    /// not report count with the mean rate of the others.
    pub(super) fn update_table_shares(&mut self) {
        let known: f64 = self.request_rates.values().sum();
        let count = self.request_rates.len();
        let mean = if count == 0 { 1.0 } else { known / count as f64 };
        let mut shares: BTreeMap<TableId, f64> = BTreeMap::new();
        for (id, proxy) in &self.proxies {
            let rate = self.request_rates.get(id).copied().unwrap_or(mean).max(f64::MIN_POSITIVE);
            for table in proxy.tables.values().copied().collect::<BTreeSet<_>>() {
                *shares.entry(table).or_default() += rate;
            }
        }
        let all: f64 = shares.values().sum();
        shares.values_mut().for_each(|share| *share /= all);
        self.table_shares = shares;
    }
}

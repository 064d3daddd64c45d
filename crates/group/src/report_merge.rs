//! Load reports of all members, merged by the holder of [`Duty::MergeReports`](crate::wire::Duty::MergeReports):
//! totals of bounded size rather than raw rows.

use std::collections::BTreeMap;

use shalereel::interface::{EndpointReport, Nanos};

use crate::wire::{MemberId, ReportTotals};

#[cfg(test)]
mod tests;

/// Rows in one message: twice a large fleet's servers and localities, in some tens of kilobytes.
pub const MAX_ROWS: usize = 4096;
const MICROSECOND: Nanos = 1_000;
const MILLISECOND: Nanos = 1_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    server: u32,
    locality: u16,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Totals {
    attempts: u64,
    failures: u64,
    /// Of all attempts that succeeded, in nanoseconds.
    response_time: u128,
    window: Nanos,
}

impl Totals {
    fn add(&mut self, other: &Totals) {
        self.attempts += other.attempts;
        self.failures += other.failures;
        self.response_time += other.response_time;
        self.window = self.window.max(other.window);
    }

    fn mean_response_time(&self) -> u128 {
        let succeeded = self.attempts.saturating_sub(self.failures).max(1);
        self.response_time / u128::from(succeeded)
    }
}

type Rows = BTreeMap<Key, Totals>;

fn saturating_u32(number: u64) -> u32 {
    number.min(u32::MAX.into()) as u32
}

fn to_message(rows: &Rows) -> ReportTotals {
    let mut order: Vec<(&Key, &Totals)> = rows.iter().collect();
    // Where not all fit, rows with most failures go first, and then those with most attempts.
    if order.len() > MAX_ROWS {
        order.sort_by_key(|(key, row)| (std::cmp::Reverse((row.failures, row.attempts)), **key));
    }
    let omitted_rows = order.len().saturating_sub(MAX_ROWS) as u32;
    let mut message = ReportTotals { omitted_rows, ..ReportTotals::default() };
    for (key, row) in order.into_iter().take(MAX_ROWS) {
        let mean_response_time_us = (row.mean_response_time() / u128::from(MICROSECOND)) as u64;
        message.servers.push(key.server);
        message.localities.push(key.locality.into());
        message.attempts.push(saturating_u32(row.attempts));
        message.failures.push(saturating_u32(row.failures));
        message.mean_response_time_us.push(saturating_u32(mean_response_time_us));
        message.window_ms.push(saturating_u32(row.window / MILLISECOND));
    }
    message
}

/// Rows up to the end of the shortest column.
fn from_message(message: &ReportTotals) -> Rows {
    let columns = [
        &message.servers,
        &message.localities,
        &message.attempts,
        &message.failures,
        &message.mean_response_time_us,
        &message.window_ms,
    ];
    let rows = columns.iter().map(|column| column.len()).min().unwrap_or(0).min(MAX_ROWS);
    (0..rows).map(|row| row_at(message, row)).collect()
}

fn row_at(message: &ReportTotals, row: usize) -> (Key, Totals) {
    let attempts = u64::from(message.attempts[row]);
    let failures = u64::from(message.failures[row]).min(attempts);
    let mean_response_time = u128::from(message.mean_response_time_us[row]) * u128::from(MICROSECOND);
    let key =
        Key { server: message.servers[row], locality: message.localities[row].min(u16::MAX.into()) as u16 };
    let totals = Totals {
        attempts,
        failures,
        response_time: mean_response_time * u128::from(attempts - failures),
        window: Nanos::from(message.window_ms[row]) * MILLISECOND,
    };
    (key, totals)
}

/// A member's own reports of a cycle as a message.
pub fn encode_reports<'a>(reports: impl Iterator<Item = &'a EndpointReport>) -> ReportTotals {
    let mut rows = Rows::new();
    for report in reports {
        let attempts = u64::from(report.attempts);
        let failures = u64::from(report.failures).min(attempts);
        let totals = Totals {
            attempts,
            failures,
            response_time: u128::from(report.response_time) * u128::from(attempts - failures),
            window: report.window,
        };
        let key = Key { server: report.server, locality: report.locality };
        rows.entry(key).or_default().add(&totals);
    }
    to_message(&rows)
}

/// The rows of a message, as if one's own forwarders had reported them.
pub fn decode_reports(message: &ReportTotals) -> Vec<EndpointReport> {
    let report = |(key, totals): (Key, Totals)| EndpointReport {
        server: key.server,
        locality: key.locality,
        attempts: saturating_u32(totals.attempts),
        failures: saturating_u32(totals.failures),
        response_time: totals.mean_response_time() as Nanos,
        window: totals.window,
        load: Vec::new(),
    };
    from_message(message).into_iter().map(report).collect()
}

/// Merged reports for one member.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedReports {
    /// Sums of all other members' reports.
    pub totals: ReportTotals,
    /// Number of members that reported.
    pub reporters: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    receiver: MemberId,
    reporter: MemberId,
}

/// Reports of each member that the others have not been sent yet.
#[derive(Debug, Default)]
pub struct ReportMerger {
    unsent: BTreeMap<Route, Rows>,
}

impl ReportMerger {
    /// Takes a member's reports. `members`: all that are to be sent merged reports; what is kept of others is dropped.
    pub fn add(&mut self, reporter: MemberId, totals: &ReportTotals, members: &[MemberId]) {
        let rows = from_message(totals);
        self.unsent.retain(|route, _| members.contains(&route.receiver) && members.contains(&route.reporter));
        for &receiver in members.iter().filter(|&&receiver| receiver != reporter) {
            let unsent = self.unsent.entry(Route { receiver, reporter }).or_default();
            for (key, row) in &rows {
                unsent.entry(*key).or_default().add(row);
            }
        }
    }

    /// What the others have reported since this was last called for the receiver.
    pub fn take(&mut self, receiver: MemberId) -> MergedReports {
        let first = Route { receiver, reporter: 0 };
        let last = Route { receiver, reporter: MemberId::MAX };
        let routes: Vec<Route> = self.unsent.range(first..=last).map(|(route, _)| *route).collect();
        let mut merged = Rows::new();
        for route in &routes {
            for (key, row) in self.unsent.remove(route).unwrap_or_default() {
                merged.entry(key).or_default().add(&row);
            }
        }
        MergedReports { totals: to_message(&merged), reporters: routes.len() as u32 }
    }
}

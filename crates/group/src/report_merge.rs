//! Merging of all members' load reports by the holder of [`Duty::MergeReports`](crate::wire::Duty::MergeReports).
//! Members exchange totals per server and locality, which are bounded in size, rather than raw reports.

use std::collections::BTreeMap;

use shalereel::interface::{EndpointReport, Nanos};

use crate::wire::{MemberId, ReportTotals};

#[cfg(test)]
mod tests;

/// Maximum number of rows in one message: twice as many as a large fleet needs for its servers and localities. They
/// take some tens of kilobytes.
pub const MAX_ROWS: usize = 4096;
const MICROSECOND: Nanos = 1_000;
const MILLISECOND: Nanos = 1_000_000;

/// Identifies a row of the totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RowKey {
    server: u32,
    locality: u16,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Totals {
    attempts: u64,
    failures: u64,
    /// Sum of the response times of all successful attempts, in nanoseconds.
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

type Rows = BTreeMap<RowKey, Totals>;

fn saturating_u32(number: u64) -> u32 {
    number.min(u32::MAX.into()) as u32
}

fn to_message(rows: &Rows) -> ReportTotals {
    let mut order: Vec<(&RowKey, &Totals)> = rows.iter().collect();
    // If not all rows fit, those with the most failures are kept first, then those with the most attempts.
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

/// Decodes a message's rows, up to the length of its shortest column.
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

fn row_at(message: &ReportTotals, row: usize) -> (RowKey, Totals) {
    let attempts = u64::from(message.attempts[row]);
    let failures = u64::from(message.failures[row]).min(attempts);
    let mean_response_time = u128::from(message.mean_response_time_us[row]) * u128::from(MICROSECOND);
    let key = RowKey {
        server: message.servers[row],
        locality: message.localities[row].min(u16::MAX.into()) as u16,
    };
    let totals = Totals {
        attempts,
        failures,
        response_time: mean_response_time * u128::from(attempts - failures),
        window: Nanos::from(message.window_ms[row]) * MILLISECOND,
    };
    (key, totals)
}

/// Sums up a member's own reports of one cycle and encodes the totals as a message.
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
        let key = RowKey { server: report.server, locality: report.locality };
        rows.entry(key).or_default().add(&totals);
    }
    to_message(&rows)
}

/// Decodes a message's rows as reports, as if this member's own forwarders had sent them.
pub fn decode_reports(message: &ReportTotals) -> Vec<EndpointReport> {
    let report = |(key, totals): (RowKey, Totals)| EndpointReport {
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

/// Merged reports that are sent to one member.
#[derive(Clone, Debug, PartialEq)]
pub struct MergedReports {
    /// Totals of all other members' reports.
    pub totals: ReportTotals,
    /// Number of members whose reports are included.
    pub reporters: u32,
}

/// Identifies the unsent reports of one member for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UnsentKey {
    receiver: MemberId,
    reporter: MemberId,
}

/// Reports of each member that are not sent to the other members yet.
#[derive(Debug, Default)]
pub struct ReportMerger {
    unsent: BTreeMap<UnsentKey, Rows>,
}

impl ReportMerger {
    /// Adds a member's reports. `members` contains all members that receive merged reports; unsent reports from and to
    /// other members are dropped.
    pub fn add(&mut self, reporter: MemberId, totals: &ReportTotals, members: &[MemberId]) {
        let rows = from_message(totals);
        self.unsent.retain(|unsent_key, _| {
            members.contains(&unsent_key.receiver) && members.contains(&unsent_key.reporter)
        });
        for &receiver in members.iter().filter(|&&receiver| receiver != reporter) {
            let unsent = self.unsent.entry(UnsentKey { receiver, reporter }).or_default();
            for (key, row) in &rows {
                unsent.entry(*key).or_default().add(row);
            }
        }
    }

    /// Removes and returns what the other members have reported since the last call for this receiver.
    pub fn take(&mut self, receiver: MemberId) -> MergedReports {
        let first = UnsentKey { receiver, reporter: 0 };
        let last = UnsentKey { receiver, reporter: MemberId::MAX };
        let unsent_keys: Vec<UnsentKey> =
            self.unsent.range(first..=last).map(|(unsent_key, _)| *unsent_key).collect();
        let mut merged = Rows::new();
        for unsent_key in &unsent_keys {
            for (key, row) in self.unsent.remove(unsent_key).unwrap_or_default() {
                merged.entry(key).or_default().add(&row);
            }
        }
        MergedReports { totals: to_message(&merged), reporters: unsent_keys.len() as u32 }
    }
}

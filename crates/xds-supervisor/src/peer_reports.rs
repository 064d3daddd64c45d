//! Which load reports of other members' proxies the controller is given. A decision, free of I/O and clock; called by
//! `group_member`.
//!
//! The controller knows what its own tables make its own proxies send, and takes a server that gets less as
//! unresponsive. What other members' proxies send follows from other tables, so their sums would have it eject sound
//! servers. Failures mean the same by whatever table they came about.

use shalereel::interface::EndpointReport;

#[cfg(test)]
mod tests;

/// A report counts from this share of failed attempts: what hangs or is gone fails them all, what is busy does not.
const MIN_FAILURE_SHARE: f64 = 0.5;

/// The failed attempts of those reports in which most attempts failed.
pub fn failures_of_peers(reports: Vec<EndpointReport>) -> impl Iterator<Item = EndpointReport> {
    let mostly_failed = |report: &EndpointReport| {
        report.attempts > 0 && f64::from(report.failures) >= MIN_FAILURE_SHARE * f64::from(report.attempts)
    };
    // The rest belongs to other members' tables.
    let failures_only =
        |report: EndpointReport| EndpointReport { attempts: report.failures, response_time: 0, ..report };
    reports.into_iter().filter(mostly_failed).map(failures_only)
}

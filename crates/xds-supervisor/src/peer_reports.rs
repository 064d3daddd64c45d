//! Selection of the load reports of other members' proxies that the controller receives. Free of I/O and clock; called
//! by `group_member`.
//!
//! The controller knows how many requests its own tables make its own proxies send, and treats a server that receives
//! fewer as unresponsive. Requests of other members' proxies follow from other tables, so their sums would make it
//! eject healthy servers. Failures have the same meaning whichever table caused the attempts.

use shalereel::interface::EndpointReport;

#[cfg(test)]
mod tests;

/// Minimum share of failed attempts for a report to count: at a hung or stopped server all attempts fail, at a busy
/// server only some do.
const MIN_FAILURE_SHARE: f64 = 0.5;

/// Reduces reports to their failed attempts, and drops those in which fewer than half of the attempts failed.
pub fn failures_of_peers(reports: Vec<EndpointReport>) -> impl Iterator<Item = EndpointReport> {
    let mostly_failed = |report: &EndpointReport| {
        report.attempts > 0 && f64::from(report.failures) >= MIN_FAILURE_SHARE * f64::from(report.attempts)
    };
    // Successful attempts and response times result from other members' tables.
    let failures_only =
        |report: EndpointReport| EndpointReport { attempts: report.failures, response_time: 0, ..report };
    reports.into_iter().filter(mostly_failed).map(failures_only)
}

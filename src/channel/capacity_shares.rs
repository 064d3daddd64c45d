//! Shares of the channel's capacity that each kind of traffic may fill, which keep capacity free for urgent
//! changes. Used by updates and table assignments.

use crate::pacing::Pacing;

/// Share of the channel's capacity, 0 to 1, that deferrable changes may fill where overhead is large. Updates
/// further limit them to the queue target.
pub(super) const DEFERRABLE_CAPACITY_SHARE: f64 = 0.3;
/// Share of the capacity for table assignments and admission limits.
pub(super) const ASSIGNMENT_CAPACITY_SHARE: f64 = 0.5;
/// Share of the capacity for urgent changes and assignments.
const URGENT_CAPACITY_SHARE: f64 = 0.8;

/// Share of the capacity that urgent changes and assignments may fill. Lines in transit count too, since they
/// queue up if the channel has just become slow.
pub(super) fn urgent_share(pacing: &Pacing) -> f64 {
    (URGENT_CAPACITY_SHARE - pacing.lines_in_transit() / pacing.capacity_lines).max(ASSIGNMENT_CAPACITY_SHARE)
}

/// Share of the capacity that deferrable changes may fill, where the overhead of one message to each proxy is
/// `overhead_lines`. It leaves room for urgent changes in a message to each proxy, with as many lines of
/// changes as of overhead.
pub(super) fn deferrable_share(pacing: &Pacing, overhead_lines: f64) -> f64 {
    let share = URGENT_CAPACITY_SHARE - 2.0 * overhead_lines / pacing.capacity_lines;
    share.clamp(DEFERRABLE_CAPACITY_SHARE, ASSIGNMENT_CAPACITY_SHARE)
}

//! Which of the reports of others the module is given. A decision, free of I/O and clock.
//!
//! The module knows what its own tables make its own proxies send, and takes a server that gets less for silent. What
//! others' proxies send follows from others' tables: given whole, their sums made it withdraw sound servers by the
//! dozen. Losses mean the same by whatever table they came about.

use shalereel::interface::EndpointReport;

/// A row counts as evidence from this part of its tries lost: what hangs or is gone loses them all, what is merely
/// busy does not.
const LOST: f64 = 0.5;

/// Of what all others met, what is worth knowing here: tries that were lost, at servers that lose most of them.
pub fn of_others(rows: Vec<EndpointReport>) -> impl Iterator<Item = EndpointReport> {
    rows.into_iter()
        .filter(|row| row.attempts > 0 && f64::from(row.failures) >= LOST * f64::from(row.attempts))
        .map(|row| {
            // Only what was lost: the rest belongs to tables that are not ours.
            EndpointReport { attempts: row.failures, response_time: 0, ..row }
        })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_losses_where_most_is_lost_are_told() {
        let row = |server, tries, lost| EndpointReport {
            server,
            locality: 0,
            attempts: tries,
            failures: lost,
            response_time: 5,
            window: 9,
            load: Vec::new(),
        };
        let told: Vec<EndpointReport> =
            of_others(vec![row(1, 10, 4), row(2, 10, 5), row(3, 0, 0), row(4, 2, 2)]).collect();
        let lost = |server, lost| EndpointReport { response_time: 0, ..row(server, lost, lost) };
        assert_eq!(told, vec![lost(2, 5), lost(4, 2)]);
    }
}

//! Reports of all members, merged by the one that holds this duty: sums, not raw lines, of a bounded size.

use std::collections::BTreeMap;

use shalereel::interface::{EndpointReport, Nanos};

use crate::wire::{MemberId, ReportTotals};

/// Rows in one message at most: twice a large fleet's servers and localities in some tens of kilobytes.
pub const MAX_ROWS: usize = 4096;
const MICRO: Nanos = 1_000;
const MILLI: Nanos = 1_000_000;

/// Server and locality.
type Key = (u32, u16);

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Row {
    tries: u64,
    lost: u64,
    /// Time of all that succeeded.
    time: u128,
    window: Nanos,
}

impl Row {
    fn add(&mut self, other: &Row) {
        self.tries += other.tries;
        self.lost += other.lost;
        self.time += other.time;
        self.window = self.window.max(other.window);
    }
}

fn fits(number: u64) -> u32 {
    number.min(u32::MAX.into()) as u32
}

fn pack(rows: &BTreeMap<Key, Row>) -> ReportTotals {
    let mut order: Vec<(&Key, &Row)> = rows.iter().collect();
    // Where not all fit, those with losses go first, then those that met most.
    if order.len() > MAX_ROWS {
        order.sort_by_key(|(key, row)| (std::cmp::Reverse((row.lost, row.tries)), **key));
    }
    let mut sums =
        ReportTotals { omitted_rows: order.len().saturating_sub(MAX_ROWS) as u32, ..ReportTotals::default() };
    for ((server, locality), row) in order.into_iter().take(MAX_ROWS) {
        let succeeded = row.tries.saturating_sub(row.lost).max(1);
        sums.servers.push(*server);
        sums.localities.push((*locality).into());
        sums.attempts.push(fits(row.tries));
        sums.failures.push(fits(row.lost));
        sums.mean_response_time_us.push(fits((row.time / u128::from(succeeded) / u128::from(MICRO)) as u64));
        sums.window_ms.push(fits(row.window / MILLI));
    }
    sums
}

fn unpack(sums: &ReportTotals) -> BTreeMap<Key, Row> {
    let columns =
        [&sums.localities, &sums.attempts, &sums.failures, &sums.mean_response_time_us, &sums.window_ms];
    let whole =
        columns.iter().map(|column| column.len()).min().unwrap_or(0).min(sums.servers.len()).min(MAX_ROWS);
    let row = |at: usize| {
        let (tries, lost) =
            (u64::from(sums.attempts[at]), u64::from(sums.failures[at].min(sums.attempts[at])));
        let time = u128::from(sums.mean_response_time_us[at]) * u128::from(MICRO) * u128::from(tries - lost);
        let window = Nanos::from(sums.window_ms[at]) * MILLI;
        (
            (sums.servers[at], sums.localities[at].min(u16::MAX.into()) as u16),
            Row { tries, lost, time, window },
        )
    };
    (0..whole).map(row).collect()
}

/// A member's own reports of a cycle as a message.
pub fn told<'a>(digests: impl Iterator<Item = &'a EndpointReport>) -> ReportTotals {
    let mut rows: BTreeMap<Key, Row> = BTreeMap::new();
    for digest in digests {
        let (tries, lost) = (u64::from(digest.attempts), u64::from(digest.failures.min(digest.attempts)));
        let time = u128::from(digest.response_time) * u128::from(tries - lost);
        let row = Row { tries, lost, time, window: digest.window };
        rows.entry((digest.server, digest.locality)).or_default().add(&row);
    }
    pack(&rows)
}

/// What others met, as if one's own forwarders of those localities had.
pub fn digests(sums: &ReportTotals) -> Vec<EndpointReport> {
    let digest = |(server, locality): Key, row: Row| EndpointReport {
        server,
        locality,
        attempts: fits(row.tries),
        failures: fits(row.lost),
        response_time: (row.time / u128::from((row.tries - row.lost).max(1))) as Nanos,
        window: row.window,
        load: Vec::new(),
    };
    unpack(sums).into_iter().map(|(key, row)| digest(key, row)).collect()
}

/// Everybody's sums since each was last told of the others.
#[derive(Debug, Default)]
pub struct ReportMerger {
    /// By receiver and sender: what the one has not been told of the other.
    open: BTreeMap<(MemberId, MemberId), BTreeMap<Key, Row>>,
}

impl ReportMerger {
    pub fn add(&mut self, from: MemberId, sums: &ReportTotals, members: &[MemberId]) {
        let rows = unpack(sums);
        self.open.retain(|(to, of), _| members.contains(to) && members.contains(of));
        for &to in members.iter().filter(|&&to| to != from) {
            let open = self.open.entry((to, from)).or_default();
            for (key, row) in &rows {
                open.entry(*key).or_default().add(row);
            }
        }
    }

    /// What `to` is told of all others, once, and of how many.
    pub fn take(&mut self, to: MemberId) -> (ReportTotals, u32) {
        let senders: Vec<MemberId> =
            self.open.range((to, 0)..=(to, MemberId::MAX)).map(|(key, _)| key.1).collect();
        let mut merged: BTreeMap<Key, Row> = BTreeMap::new();
        for from in &senders {
            for (key, row) in self.open.remove(&(to, *from)).unwrap_or_default() {
                merged.entry(key).or_default().add(&row);
            }
        }
        (pack(&merged), senders.len() as u32)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn digest(server: u32, tries: u32, lost: u32, answer_time: Nanos) -> EndpointReport {
        EndpointReport {
            server,
            locality: 1,
            attempts: tries,
            failures: lost,
            response_time: answer_time,
            window: 1_000 * MILLI,
            load: Vec::new(),
        }
    }

    #[test]
    fn each_is_told_of_the_others_and_never_of_itself() {
        let mut merger = ReportMerger::default();
        merger.add(0, &told([digest(7, 10, 2, 4_000_000)].iter()), &[0, 1, 2]);
        merger.add(1, &told([digest(7, 30, 0, 8_000_000), digest(8, 1, 1, 0)].iter()), &[0, 1, 2]);
        assert_eq!(digests(&merger.take(0).0), vec![digest(7, 30, 0, 8_000_000), digest(8, 1, 1, 0)]);
        assert_eq!(digests(&merger.take(1).0), vec![digest(7, 10, 2, 4_000_000)]);
        let (sums, senders) = merger.take(2);
        assert_eq!((digests(&sums)[0].attempts, digests(&sums)[0].failures, senders), (40, 2, 2));
        assert_eq!(digests(&merger.take(2).0), vec![], "told once");
    }

    #[test]
    fn a_message_is_bounded_and_keeps_losses() {
        let many: Vec<EndpointReport> =
            (0..6000).map(|server| digest(server, 5, u32::from(server == 5999), 0)).collect();
        let sums = told(many.iter());
        assert_eq!((sums.servers.len(), sums.omitted_rows), (MAX_ROWS, 6000 - MAX_ROWS as u32));
        assert_eq!(sums.servers[0], 5999);
    }

    #[test]
    fn columns_of_unequal_length_are_read_as_far_as_all_go() {
        let sums = ReportTotals {
            servers: vec![1, 2],
            localities: vec![0, 0],
            attempts: vec![3],
            ..ReportTotals::default()
        };
        assert_eq!(digests(&sums), vec![]);
    }
}

//! Tests for merging load reports.

use super::*;

fn report(server: u32, attempts: u32, failures: u32, response_time: Nanos) -> EndpointReport {
    EndpointReport {
        server,
        locality: 1,
        attempts,
        failures,
        response_time,
        window: 1_000 * MILLISECOND,
        load: Vec::new(),
    }
}

fn encoded(reports: &[EndpointReport]) -> ReportTotals {
    encode_reports(reports.iter())
}

#[test]
fn members_receive_reports_of_all_others_once() {
    let mut merger = ReportMerger::default();
    merger.add(0, &encoded(&[report(7, 10, 2, 4_000_000)]), &[0, 1, 2]);
    merger.add(1, &encoded(&[report(7, 30, 0, 8_000_000), report(8, 1, 1, 0)]), &[0, 1, 2]);
    let for_0 = decode_reports(&merger.take(0).totals);
    assert_eq!(for_0, vec![report(7, 30, 0, 8_000_000), report(8, 1, 1, 0)]);
    assert_eq!(decode_reports(&merger.take(1).totals), vec![report(7, 10, 2, 4_000_000)]);
    let for_2 = merger.take(2);
    let first = &decode_reports(&for_2.totals)[0];
    assert_eq!((first.attempts, first.failures, for_2.reporters), (40, 2, 2));
    assert_eq!(decode_reports(&merger.take(2).totals), vec![], "reports are sent once");
}

#[test]
fn message_is_bounded_and_keeps_rows_with_failures() {
    let many: Vec<EndpointReport> =
        (0..6000).map(|server| report(server, 5, u32::from(server == 5999), 0)).collect();
    let totals = encoded(&many);
    assert_eq!((totals.servers.len(), totals.omitted_rows), (MAX_ROWS, 6000 - MAX_ROWS as u32));
    assert_eq!(totals.servers[0], 5999);
}

#[test]
fn unequal_columns_are_read_to_the_shortest() {
    let totals = ReportTotals {
        servers: vec![1, 2],
        localities: vec![0, 0],
        attempts: vec![3],
        ..ReportTotals::default()
    };
    assert_eq!(decode_reports(&totals), vec![]);
}

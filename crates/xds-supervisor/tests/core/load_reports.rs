//! Conversion of load reports to events.

use shalereel::interface::Event;
use shalereel_xds_supervisor::{EndpointList, LoadReports, ReportingProxy};

use super::*;

/// Attempts at a server that was never listed count neither as attempts nor as demand.
#[test]
fn load_of_never_listed_server_does_not_count_as_demand() {
    let mut endpoints = EndpointList::new(&["a".to_owned()]);
    let row = AssignedEndpoint {
        address: ([127, 1, 0, 1], 80).into(),
        zone: "a".into(),
        health: Health::Ready,
        weight: 1.0,
        info: Some(ServerInfo { server: 4, kind: 0, cell: 0, incarnation: 1, age: None }),
    };
    let list = |rows| Assignment { cluster: "fleet".into(), endpoints: rows, admitted: 1.0 };
    endpoints.apply_list(SECOND, &list(vec![row]));
    // The server is removed, but reports about it still count, since attempts may have been in flight.
    endpoints.apply_list(SECOND, &list(vec![]));
    let load = |last: u8, failures| EndpointLoad {
        address: ([127, 1, 0, last], 80).into(),
        zone: "a".into(),
        successes: 3,
        failures,
        timed_responses: 3,
        response_time_sum: 60 * MILLI,
        metrics: Default::default(),
    };
    let loads = vec![load(1, 1), load(9, 5000)];
    let cluster = ClusterLoad {
        cluster: "view".into(),
        interval: SECOND,
        issued: 5007,
        failures: 5001,
        dropped: 2,
        endpoints: loads,
    };
    let reporter = ReportingProxy { proxy: 1, locality: 0 };
    let mut reports = LoadReports::default();
    reports.add(
        reporter,
        &LoadReport { node: None, clusters: vec![cluster] },
        &["view".to_owned()],
        &endpoints,
    );
    let events = reports.take();
    assert!(
        matches!(&events[0], Event::EndpointReport(report) if report.server == 4 && (report.attempts, report.failures) == (4, 1))
    );
    assert!(matches!(&events[0], Event::EndpointReport(report) if report.response_time == 20 * MILLI));
    assert!(matches!(events[1], Event::DemandReport { total: 6, failures: 1, .. }), "{events:?}");
    assert_eq!((events.len(), reports.take_unlisted_rows(), reports.take().len()), (2, 1, 0));
}

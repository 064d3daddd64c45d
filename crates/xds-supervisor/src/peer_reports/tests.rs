//! Selection of the reports of other members' proxies.

use super::*;

#[test]
fn only_failures_count_and_only_where_most_attempts_failed() {
    let report = |server, attempts, failures| EndpointReport {
        server,
        locality: 0,
        attempts,
        failures,
        response_time: 5,
        window: 9,
        load: Vec::new(),
    };
    let reports = vec![report(1, 10, 4), report(2, 10, 5), report(3, 0, 0), report(4, 2, 2)];
    let selected: Vec<EndpointReport> = failures_of_peers(reports).collect();
    let failed = |server, failures| EndpointReport { response_time: 0, ..report(server, failures, failures) };
    assert_eq!(selected, vec![failed(2, 5), failed(4, 2)]);
}

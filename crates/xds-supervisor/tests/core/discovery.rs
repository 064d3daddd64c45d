//! Delivery of tables to discovery clients, with their acknowledgements and rejections.

use rstest::rstest;

use super::*;

/// The client requests listener, routes, clusters and endpoints in the order of the specification, and uses none of the
/// extensions.
#[rstest]
#[case(Variant::StateOfTheWorld)]
#[case(Variant::Incremental)]
fn standard_client_joins_and_receives_tables(#[case] variant: Variant) {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut client = harness.open_client(7, "stock", variant);
    let subscribe = |harness: &mut Harness, client: &mut ClientStream, url: &str, names: &[&str]| {
        let message = client.subscribe(url, names.iter().map(|name| name.to_string()));
        harness.core.handle_message(harness.now, 7, &message);
        harness.run_ms(1500);
        harness.read_and_acknowledge(7, client)
    };
    let listeners = subscribe(&mut harness, &mut client, types::LISTENER, &[LISTENER_NAME]);
    assert_eq!(listeners[0].resources.len(), 1);
    let routes = subscribe(&mut harness, &mut client, types::ROUTES, &[LISTENER_NAME]);
    let policies = decode_retries(&routes.last().unwrap().resources[0]).unwrap();
    assert_eq!(policies.iter().map(|policy| policy.0.as_str()).collect::<Vec<_>>(), ["view", "order"]);
    let clusters = subscribe(&mut harness, &mut client, types::CLUSTER, &["view", "order"]);
    assert_eq!(clusters[0].resources.len(), 2);
    let tables = subscribe(&mut harness, &mut client, types::ASSIGNMENT, &["view", "order"]);
    assert_eq!(summaries(tables.last().unwrap()), [summary("view", 5, 0), summary("order", 5, 0)]);
    // A drain is sent at once, not with the next regular batch.
    harness.list_draining(&[3]);
    harness.run_ms(200);
    let tables = harness.read_and_acknowledge(7, &mut client);
    assert_eq!(summaries(&tables[0]), [summary("view", 4, 0), summary("order", 4, 0)]);
    assert!(harness.closed.is_empty());
}

/// Guards against a correction by the guard that is sent only with the controller's next action: the injected fault
/// drops the actions for the drain, so there is none. The drain grace is 2 s.
#[test]
fn drain_that_the_guard_enforces_is_sent_within_the_grace() {
    let mut harness =
        Harness::with_deployment(&format!("planted = \"drop_suspensions\"\n{DEPLOYMENT}"), None);
    harness.list_draining(&[]);
    let mut client = harness.join_viewer(7, "stock");
    harness.run_ms(1500);
    assert_eq!(
        summaries(harness.read_and_acknowledge(7, &mut client).last().unwrap()),
        [summary("view", 5, 0)]
    );
    harness.list_draining(&[3]);
    harness.run_ms(1200);
    let tables = harness.read_and_acknowledge(7, &mut client);
    assert_eq!(tables.last().map(summaries), Some(vec![summary("view", 5, 1)]));
}

#[test]
fn rejected_response_is_sent_again_and_the_third_rejection_closes_the_stream() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut client = harness.join_viewer(1, "f");
    for _ in 0..3 {
        while harness.sent.is_empty() {
            harness.run_ms(1);
        }
        let (_, message) = harness.sent.remove(0);
        let update = client.handle(&message).unwrap();
        assert_eq!(summaries(&update), [summary("view", 5, 0)], "each response has the full table");
        let rejection = client.nack(&update, "rejected by the test".into());
        harness.core.handle_message(harness.now, 1, &rejection);
    }
    harness.run_ms(1);
    assert_eq!(harness.closed, [(1, Code::FailedPrecondition)]);
}

#[test]
fn unresponsive_client_is_closed_and_does_not_delay_others() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    for peer in [1, 2] {
        let mut client = harness.join_viewer(peer, &format!("f-{peer}"));
        harness.run_ms(100);
        if peer == 2 {
            assert_eq!(harness.read_and_acknowledge(peer, &mut client).len(), 1);
        }
    }
    // The timeout is four times the sum of a round trip with report interval (1.2 s) and the time in which a full
    // channel empties (2 s).
    harness.run_ms(12_000);
    assert!(harness.closed.is_empty());
    harness.run_ms(2_500);
    assert_eq!((harness.closed.clone(), harness.core.proxy_count()), (vec![(1, Code::DeadlineExceeded)], 1));
}

//! Joining of nodes, and replacement of their streams.

use rstest::rstest;

use super::*;

#[rstest]
#[case::unknown_zone(NodeInfo { id: "f".into(), zone: "z".into(), ..NodeInfo::default() }, Code::FailedPrecondition)]
#[case::missing_id(NodeInfo { zone: "a".into(), ..NodeInfo::default() }, Code::InvalidArgument)]
fn invalid_node_is_rejected_with_the_reason(#[case] node: NodeInfo, #[case] code: Code) {
    let mut harness = Harness::new(None);
    harness.core.stream_opened(1, Variant::StateOfTheWorld);
    let message =
        ClientStream::new(Variant::StateOfTheWorld, node).subscribe(types::ASSIGNMENT, ["view".to_owned()]);
    harness.core.handle_message(harness.now, 1, &message);
    harness.run_ms(1);
    assert_eq!(harness.closed, [(1, code)]);
    assert_eq!(harness.core.proxy_count(), 0);
}

#[test]
fn reconnecting_node_replaces_its_older_stream() {
    let mut harness = Harness::new(None);
    for peer in [1, 2] {
        harness.join_viewer(peer, "same");
        harness.run_ms(1);
    }
    assert_eq!((harness.closed.clone(), harness.core.proxy_count()), (vec![(1, Code::Cancelled)], 1));
    // Closing the older stream does not remove the node.
    harness.core.stream_closed(1);
    assert_eq!(harness.core.proxy_count(), 1);
}

//! The bytes of xDS messages: hand-assembled messages in both directions, the rules of streams, and arbitrary input.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use shalereel::interface::RetryPolicy;
use shalereel_rpc::Code;
use shalereel_xds::*;

/// A length-delimited field of a message (protobuf wire type 2); its length must be below 128.
fn field(number: u8, content: impl AsRef<[u8]>) -> Vec<u8> {
    let content = content.as_ref();
    let mut out = vec![number << 3 | 2, content.len() as u8];
    out.extend(content);
    out
}

/// A field with a one-byte varint (protobuf wire type 0); the value must be below 128.
fn varint(number: u8, value: u8) -> Vec<u8> {
    vec![number << 3, value]
}

/// A field with a type URL. The type URL of assignments has 70 letters, so its length fits.
fn type_url_field(number: u8, value: &str) -> Vec<u8> {
    field(number, value)
}

/// Node { id = 1, locality = 4 { zone = 2 } }, the fields of envoy.config.core.v3.Node.
fn node() -> Vec<u8> {
    [field(1, "f-1"), field(4, field(2, "a"))].concat()
}

/// DiscoveryRequest { node = 2, resource_names = 3, type_url = 4 }.
fn first_request(names: &[&str]) -> Vec<u8> {
    let names: Vec<u8> = names.iter().flat_map(|name| field(3, name)).collect();
    [field(2, node()), names, type_url_field(4, types::ASSIGNMENT)].concat()
}

fn assigned_endpoint(port: u16, weight: f64, health: Health) -> AssignedEndpoint {
    let address = ([127, 0, 0, 1], port).into();
    AssignedEndpoint { address, zone: "a".into(), health, weight, info: None }
}

fn response(version: &str, resources: Vec<Resource>, nonce: u64, stamp: u64) -> Response<'_> {
    Response { type_url: types::ASSIGNMENT, version, resources, removed: Vec::new(), nonce, stamp }
}

#[test]
fn hand_assembled_request_is_decoded_and_answered_as_specified() {
    let mut serving = ServerStream::new(Variant::StateOfTheWorld, "us");
    let requests = serving.handle(&first_request(&["x", "y"])).unwrap();
    let node = NodeInfo { id: "f-1".into(), zone: "a".into(), ..NodeInfo::default() };
    let type_url = types::ASSIGNMENT.to_owned();
    let names = Some(vec!["x".to_owned(), "y".to_owned()]);
    assert_eq!(
        requests,
        [ClientRequest::Node(node), ClientRequest::Subscribe { type_url: type_url.clone(), names }]
    );
    let table = Assignment {
        cluster: "x".into(),
        endpoints: vec![assigned_endpoint(80, 0.0002, Health::Draining)],
        admitted: 0.75,
    };
    let resource = Resource { name: "x".into(), version: "1".into(), any: table.encode() };
    let sent = serving.encode_response(response("v1", vec![resource], 5, 77));
    // ClusterLoadAssignment { cluster_name = 1, endpoints = 2, policy = 4 }.
    let socket = [field(2, "127.0.0.1"), varint(3, 80)].concat();
    let endpoint = [
        field(1, field(1, field(1, socket))), // endpoint.address.socket_address
        varint(2, 3),                         // health_status: DRAINING
        field(4, varint(1, 2)),               // load_balancing_weight: 0.0002 of 1/10,000
    ]
    .concat();
    let group = [field(1, field(2, "a")), field(2, endpoint), field(3, varint(1, 1))].concat();
    let percent = [vec![1 << 3, 0x90, 0xa1, 0x0f], varint(2, 2)].concat(); // 250,000 of a million
    let drop = [field(1, "level"), field(2, percent)].concat();
    let assignment = [field(1, "x"), field(2, group), field(4, field(2, drop))].concat();
    // DiscoveryResponse { version_info = 1, resources = 2, type_url = 4, nonce = 5, control_plane = 6 }.
    let any = [type_url_field(1, types::ASSIGNMENT), field(2, assignment)].concat();
    let mut expected = field(1, "v1");
    expected.extend([2 << 3 | 2, any.len() as u8 & 0x7f | 0x80, (any.len() >> 7) as u8]);
    expected.extend(any);
    expected
        .extend([type_url_field(4, types::ASSIGNMENT), field(5, "5@77"), field(6, field(1, "us"))].concat());
    assert_eq!(sent, expected);
    // ACK: version_info = 1, names, type_url, response_nonce = 5.
    let ack = [
        field(1, "v1"),
        field(3, "x"),
        field(3, "y"),
        type_url_field(4, types::ASSIGNMENT),
        field(5, "5@77"),
    ]
    .concat();
    assert_eq!(serving.handle(&ack).unwrap(), [ClientRequest::Ack { type_url: type_url.clone(), nonce: 5 }]);
    // NACK of the next response: error_detail = 6 { message = 2 }.
    serving.encode_response(response("v2", vec![], 9, 0));
    let nack = [ack[..ack.len() - 6].to_vec(), field(5, "9@0"), field(6, field(2, "no"))].concat();
    assert_eq!(
        serving.handle(&nack).unwrap(),
        [ClientRequest::Nack { type_url, nonce: 9, reason: "no".into() }],
        "the subscription does not change"
    );
    assert_eq!(serving.handle(&ack).unwrap(), [], "an outdated nonce is ignored");
}

#[rstest]
#[case::no_node(field(4, types::ASSIGNMENT), Code::InvalidArgument)]
#[case::unknown_type([field(2, node()), field(4, "type.googleapis.com/other")].concat(), Code::InvalidArgument)]
#[case::no_message(vec![0xff, 0xff], Code::InvalidArgument)]
#[case::too_many_names(
    [first_request(&[]), (0..4097).flat_map(|at| field(3, format!("{at}"))).collect()].concat(),
    Code::ResourceExhausted
)]
fn invalid_request_ends_the_stream_with_a_status(#[case] message: Vec<u8>, #[case] code: Code) {
    let mut serving = ServerStream::new(Variant::StateOfTheWorld, "us");
    assert_eq!(serving.handle(&message).unwrap_err().code, code);
}

#[rstest]
#[case(Variant::StateOfTheWorld)]
#[case(Variant::Incremental)]
fn client_and_server_agree_on_node_and_subscription_on_every_new_stream(#[case] variant: Variant) {
    let node = NodeInfo { id: "f".into(), zone: "a".into(), rate: 2.5, is_new: true, supports_lines: false };
    let mut client = ClientStream::new(variant, node.clone());
    let opening = client.subscribe(types::ASSIGNMENT, ["x".to_owned()]);
    for round in 0..3_u64 {
        let mut serving = ServerStream::new(variant, "us");
        let messages = if round == 0 { vec![opening.clone()] } else { client.reopen() };
        let requests: Vec<ClientRequest> =
            messages.iter().flat_map(|message| serving.handle(message).unwrap()).collect();
        let subscribe =
            ClientRequest::Subscribe { type_url: types::ASSIGNMENT.into(), names: Some(vec!["x".into()]) };
        assert_eq!(requests, [ClientRequest::Node(node.clone()), subscribe]);
        assert!(
            serving.is_subscribed(types::ASSIGNMENT, "x") && !serving.is_subscribed(types::ASSIGNMENT, "z")
        );
        let table = Assignment {
            cluster: "x".into(),
            endpoints: vec![assigned_endpoint(1, 1.5, Health::Ready)],
            admitted: 1.0,
        };
        let resource = Resource { name: "x".into(), version: "7".into(), any: table.encode() };
        let sent = serving.encode_response(response("v", vec![resource], round + 1, 99));
        let update = client.handle(&sent).unwrap();
        assert_eq!((update.stamp(), update.control_plane.as_str()), (Some((round + 1, 99)), "us"));
        assert_eq!(Assignment::decode(&update.resources[0]).unwrap(), table);
        let ack = ClientRequest::Ack { type_url: types::ASSIGNMENT.into(), nonce: round + 1 };
        assert_eq!(serving.handle(&client.ack(&update)).unwrap(), [ack]);
        let second = serving.encode_response(response("w", vec![], round + 2, 0));
        let update = client.handle(&second).unwrap();
        let requests = serving.handle(&client.nack(&update, "no".into())).unwrap();
        assert!(matches!(&requests[..], [ClientRequest::Nack { reason, .. }] if reason == "no"));
    }
}

#[test]
fn hand_assembled_load_report_is_decoded() {
    // LoadStatsRequest { node = 1, cluster_stats = 2 }, ClusterStats { cluster_name = 1,
    // upstream_locality_stats = 2, total_dropped_requests = 3, load_report_interval = 4 }.
    let double = |value: f64| [vec![3 << 3 | 1], value.to_le_bytes().to_vec()].concat();
    let metric = [field(1, RESPONSE_TIME_METRIC), varint(2, 4), double(100.0)].concat();
    let address = field(1, [field(2, "127.0.0.1"), varint(3, 80)].concat());
    let endpoint = [field(1, address), varint(2, 4), varint(4, 3), field(5, metric), varint(7, 7)].concat();
    let locality = [field(1, field(2, "a")), varint(2, 4), varint(4, 3), field(7, endpoint)].concat();
    let stats = [field(1, "x"), field(2, locality), varint(3, 2), field(4, varint(1, 1))].concat();
    let mut wire = field(1, node());
    wire.extend([2 << 3 | 2, stats.len() as u8 & 0x7f | 0x80, (stats.len() >> 7) as u8]);
    wire.extend(&stats);
    let report = LoadReport::decode(&wire).unwrap();
    assert_eq!(report.node.unwrap().id, "f-1");
    let cluster = &report.clusters[0];
    assert_eq!(
        (cluster.issued, cluster.failures, cluster.dropped, cluster.interval),
        (7, 3, 2, 1_000_000_000)
    );
    let load = &cluster.endpoints[0];
    assert_eq!(
        (load.successes, load.failures, load.timed_responses, load.response_time_sum),
        (4, 3, 4, 100_000_000)
    );
    // LoadStatsResponse { load_reporting_interval = 2, report_endpoint_granularity = 3, send_all_clusters = 4 }.
    let config = LoadReportConfig { interval: 2_000_000_000, by_endpoint: true };
    assert_eq!(config.encode(), [field(2, varint(1, 2)), varint(3, 1), varint(4, 1)].concat());
    assert_eq!(LoadReportConfig::decode(&config.encode()).unwrap(), config);
}

#[rstest]
#[case(RetryPolicy::Never)]
#[case(RetryPolicy::IfNotExecuted)]
#[case(RetryPolicy::Once)]
#[case(RetryPolicy::Twice)]
fn encoded_retry_policies_are_decoded_unchanged(#[case] policy: RetryPolicy) {
    let any = routes("l", "/p/", [("x", policy), ("y", RetryPolicy::Never)].into_iter());
    let expected = [("x".to_owned(), policy), ("y".to_owned(), RetryPolicy::Never)];
    assert_eq!(decode_retries(&any).unwrap(), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::default() })]
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), delta: bool) {
        let variant = if delta { Variant::Incremental } else { Variant::StateOfTheWorld };
        let mut serving = ServerStream::new(variant, "us");
        let _ = serving.handle(&bytes);
        let mut client = ClientStream::new(variant, NodeInfo::default());
        client.subscribe(types::ASSIGNMENT, ["x".to_owned()]);
        let _ = client.handle(&bytes);
        let _ = LoadReport::decode(&bytes);
        let _ = LoadReportConfig::decode(&bytes);
        let _ = Assignment::decode(&Any { type_url: types::ASSIGNMENT.into(), value: bytes });
    }

    #[test]
    fn any_encoded_table_is_decoded_with_weights_equal_but_for_rounding(
        rows in prop::collection::vec((1_u16..9999, 1e-6..1e7_f64, 0..3_u8), 0..20),
        admitted in 0.0..1.0_f64,
    ) {
        let healths = [Health::Ready, Health::Draining, Health::Unhealthy];
        let rows: Vec<AssignedEndpoint> =
            rows.into_iter().map(|(port, weight, health)| assigned_endpoint(port, weight, healths[usize::from(health)])).collect();
        let sum: f64 = rows.iter().map(|endpoint| endpoint.weight).sum();
        let table = Assignment { cluster: "x".into(), endpoints: rows, admitted };
        let decoded = Assignment::decode(&table.encode()).unwrap();
        prop_assert!((decoded.admitted - admitted).abs() < 1e-6);
        prop_assert_eq!(decoded.endpoints.len(), table.endpoints.len());
        let unit = decoded.endpoints.iter().map(|endpoint| endpoint.weight).sum::<f64>() / sum;
        for (found, encoded) in decoded.endpoints.iter().zip(&table.endpoints) {
            prop_assert_eq!((found.address, found.health), (encoded.address, encoded.health));
            prop_assert!(found.weight > 0.0, "a weight above 0 stays above 0");
            prop_assert!((found.weight - encoded.weight * unit).abs() <= 0.0002 + 0.001 * found.weight.max(encoded.weight * unit));
        }
    }
}

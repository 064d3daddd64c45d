//! Tests of the exact bytes of each kind of update that a supervisor sends, and of each field of the messages
//! that it decodes.

mod common;

use common::registry_with_servers;
use shalereel::interface::{Action, Readiness, RetryPolicy};
use shalereel_platform_supervisor::{
    decode_message, Acknowledgement, Clocks, DemandReportMessage, EndpointList, EndpointReportMessage,
    JoinKind, Message, ProxyJoin, ProxyTables, ServerRegistry,
};

const PROXY: u16 = 4;

fn weight(table: u16, server: u32, weight: f64) -> Action {
    Action::SetWeight { table, server, weight }
}

fn assign(table: u16, operations: u16) -> Action {
    Action::AssignTable { proxy: PROXY, table, operations }
}

fn admit(table: Option<u16>, operations: u16, limit: f64, retry_policy: RetryPolicy) -> Action {
    Action::LimitAdmission { table, operations, limit, retry_policy }
}

fn exclude(server: u32, on: bool) -> Action {
    Action::Exclude { server, on }
}

fn ack(serial: u16, everyone: bool) -> Action {
    Action::RequestAck { serial, everyone }
}

/// The lines that one proxy is sent after each batch of actions.
fn updates(kind: JoinKind, servers: u32, batches: &[Vec<Action>]) -> Vec<String> {
    // The first server has a listed start, so a reconnected proxy may still exclude it.
    let registry = registry_with_servers(servers, |server| if server == 1 { 5.0 } else { 0.0 });
    let operations = ["look", "buy"].map(String::from);
    let mut tables = ProxyTables::new(operations.len());
    tables.join(PROXY, kind);
    let mut apply = |actions: &Vec<Action>| {
        let updates = tables.apply(actions, &registry, &operations).unwrap();
        updates
            .into_iter()
            .map(|update| String::from_utf8(update.bytes.to_vec()).unwrap())
            .collect::<String>()
    };
    batches.iter().map(&mut apply).collect()
}

#[test]
fn complete_table_is_sent_with_an_ack_request() {
    let actions =
        vec![weight(0, 1, 1.0), weight(0, 2, 0.1), weight(0, 3, 1e-60), assign(0, 0), ack(7, false)];
    let expected = "{\"t\":\"push\",\"whole\":true,\"lines\":[[\"s1\",1.0],[\"s2\",0.1],[\"s3\",1.1754944e-38]],\"ticket\":7}\n";
    assert_eq!(updates(JoinKind::New, 3, &[actions]), [expected]);
}

#[test]
fn tables_of_single_operations_are_sent_as_continued_parts() {
    let actions = vec![weight(0, 1, 1.0), weight(1, 2, 0.5), assign(0, 1), assign(1, 2), ack(65535, true)];
    let expected = concat!(
        "{\"t\":\"push\",\"classes\":[\"look\"],\"whole\":true,\"lines\":[[\"s1\",1.0]],\"more\":true}\n",
        "{\"t\":\"push\",\"classes\":[\"buy\"],\"whole\":true,\"lines\":[[\"s2\",0.5]],\"ticket\":65535}\n",
    );
    assert_eq!(updates(JoinKind::New, 3, &[actions]), [expected]);
}

#[test]
fn empty_table_is_sent_as_a_part_without_weights() {
    assert_eq!(
        updates(JoinKind::New, 3, &[vec![assign(0, 0)]]),
        ["{\"t\":\"push\",\"whole\":true,\"lines\":[]}\n"]
    );
}

#[test]
fn changed_weights_and_a_cleared_table_are_sent() {
    let batches = [
        vec![weight(0, 1, 1.0), assign(0, 0)],
        vec![weight(0, 3, 0.25), weight(0, 1, 0.0)],
        vec![Action::ClearTable { table: 0 }],
    ];
    let expected = [
        "{\"t\":\"push\",\"whole\":true,\"lines\":[[\"s1\",1.0]]}\n",
        "{\"t\":\"push\",\"lines\":[[\"s3\",0.25],[\"s1\",0.0]]}\n",
        "{\"t\":\"push\",\"whole\":true,\"lines\":[]}\n",
    ];
    assert_eq!(updates(JoinKind::New, 3, &batches), expected);
}

#[test]
fn admission_limits_are_sent_with_each_retry_policy() {
    let batches = [
        vec![weight(0, 1, 1.0), assign(0, 0)],
        vec![admit(Some(0), 0, 0.5, RetryPolicy::Never)],
        vec![admit(Some(0), 0, 0.75, RetryPolicy::IfNotExecuted)],
        vec![admit(None, 0, 0.25, RetryPolicy::Never)],
        vec![admit(Some(0), 1, 0.125, RetryPolicy::Once), weight(0, 2, 1.0)],
        vec![
            admit(None, 2, 1e300, RetryPolicy::Twice),
            admit(Some(0), 2, 2e300, RetryPolicy::Twice),
            ack(3, false),
        ],
    ];
    let expected = [
        "{\"t\":\"push\",\"whole\":true,\"lines\":[[\"s1\",1.0]]}\n",
        "{\"t\":\"push\",\"level\":0.5,\"retry\":0}\n",
        "{\"t\":\"push\",\"level\":0.75,\"retry\":1}\n",
        "{\"t\":\"push\",\"level\":0.25,\"retry\":1}\n",
        concat!(
            "{\"t\":\"push\",\"lines\":[[\"s2\",1.0]],\"more\":true}\n",
            "{\"t\":\"push\",\"classes\":[\"look\"],\"level\":0.125,\"retry\":2,\"more\":true}\n",
            "{\"t\":\"push\",\"classes\":[\"buy\"],\"level\":0.25,\"retry\":1}\n",
        ),
        concat!(
            "{\"t\":\"push\",\"classes\":[\"look\"],\"level\":0.125,\"retry\":2,\"more\":true}\n",
            "{\"t\":\"push\",\"classes\":[\"buy\"],\"level\":3.4028235e+38,\"retry\":3,\"ticket\":3}\n",
        ),
    ];
    assert_eq!(updates(JoinKind::New, 3, &batches), expected);
}

#[test]
fn exclusions_and_inclusions_are_sent() {
    let batches = [
        vec![weight(0, 1, 1.0), weight(0, 2, 1.0), assign(0, 0)],
        vec![exclude(2, true)],
        vec![exclude(1, true), exclude(2, false), ack(9, false)],
    ];
    let expected = [
        "{\"t\":\"push\",\"whole\":true,\"lines\":[[\"s1\",1.0],[\"s2\",1.0]]}\n",
        "{\"t\":\"push\",\"out\":[\"s2\"]}\n",
        "{\"t\":\"push\",\"out\":[\"s1\"],\"back\":[\"s2\"],\"ticket\":9}\n",
    ];
    assert_eq!(updates(JoinKind::New, 3, &batches), expected);
}

#[test]
fn reconnected_proxy_is_told_to_include_restarted_servers() {
    let batches = [vec![weight(0, 1, 1.0), assign(0, 0)], vec![exclude(3, true)]];
    let expected = ["{\"t\":\"push\",\"whole\":true,\"lines\":[[\"s1\",1.0]],\"back\":[\"s1\"]}\n", ""];
    assert_eq!(updates(JoinKind::Reconnected, 3, &batches), expected);
}

#[test]
fn ack_request_to_everyone_is_sent_without_changes() {
    let batches = [vec![ack(1, true)], vec![ack(2, false)]];
    assert_eq!(updates(JoinKind::New, 3, &batches), ["{\"t\":\"push\",\"ticket\":1}\n", ""]);
}

#[test]
fn table_longer_than_one_part_is_split() {
    let mut actions: Vec<Action> = (1..=4097).map(|server| weight(0, server, 1.0)).collect();
    actions.extend([assign(0, 0), ack(1, false), exclude(5, true), admit(None, 0, 1.0, RetryPolicy::Once)]);
    let lines: Vec<String> = (1..=4096).map(|server| format!("[\"s{server}\",1.0]")).collect();
    let first = format!("{{\"t\":\"push\",\"whole\":true,\"lines\":[{}],\"more\":true}}\n", lines.join(","));
    let last = "{\"t\":\"push\",\"lines\":[[\"s4097\",1.0]],\"level\":1.0,\"retry\":2,\"out\":[\"s5\"],\"ticket\":1}\n";
    assert_eq!(updates(JoinKind::New, 4097, &[actions]), [first + last]);
}

#[test]
fn every_message_is_decoded_with_all_its_fields() {
    let cases = [
        (r#"{"t":"probe"}"#, Message::LivenessProbe {}),
        (r#"{"t":"agent","site":"north"}"#, Message::CollectorJoin { locality: "north".into() }),
        (
            r#"{"t":"hello","id":3,"site":"north","rps":2.5,"new":false}"#,
            Message::ProxyJoin(ProxyJoin {
                proxy: 3,
                locality: "north".into(),
                requests_per_s: 2.5,
                is_new: false,
            }),
        ),
        (
            r#"{"t":"ack","id":3,"seq":65535,"ms":12.5}"#,
            Message::Acknowledgement(Acknowledgement { proxy: 3, serial: 65535, elapsed_ms: 12.5 }),
        ),
        (
            r#"{"t":"outcomes","site":"north","target":"s1","count":9,"fail":2,"mean":7.5,"over":1000.0,"util":{"cpu":0.5}}"#,
            Message::EndpointReport(EndpointReportMessage {
                locality: "north".into(),
                server: "s1".into(),
                attempts: 9,
                failures: 2,
                response_time_ms: Some(7.5),
                window_ms: 1000.0,
                load: Some([("cpu".to_owned(), 0.5)].into()),
            }),
        ),
        (
            r#"{"t":"outcomes","site":"north","target":"s1","count":2,"fail":2,"mean":null,"over":1000}"#,
            Message::EndpointReport(EndpointReportMessage {
                locality: "north".into(),
                server: "s1".into(),
                attempts: 2,
                failures: 2,
                response_time_ms: None,
                window_ms: 1000.0,
                load: None,
            }),
        ),
        (
            r#"{"t":"demand","id":3,"lane":"look","count":5,"fail":1,"over":500.0}"#,
            Message::DemandReport(DemandReportMessage {
                proxy: 3,
                operation: "look".into(),
                total: 5,
                failures: 1,
                window_ms: 500.0,
            }),
        ),
    ];
    for (line, expected) in cases {
        assert_eq!(decode_message(line.as_bytes()), Ok(expected), "{line}");
    }
}

#[test]
fn endpoint_list_is_decoded_with_all_its_fields() {
    let line = r#"{"version":7,"full":false,"servers":[{"id":"a","addr":"10.0.0.1:80","zone":"z","kind":"k","cell":3,"state":"Ready","weight":1.5,"started_ms":4.0},{"id":"b","addr":"","zone":"z","kind":"k","cell":0,"state":"Terminating","weight":2.0},{"id":"c","addr":"","zone":"z","kind":"k","cell":0,"state":"Gone","weight":0.0}]}"#;
    let list: EndpointList = serde_json::from_str(line).unwrap();
    assert_eq!((list.version, list.is_full, list.entries.len()), (7, false, 3));
    let mut registry = ServerRegistry::new(vec!["z".into()], vec!["k".into()]);
    registry.apply(list, Clocks { now: 1, unix_ms: 1_004.0 }, None);
    let a = registry.get(1).unwrap();
    assert_eq!((&*a.name, a.address), ("a", Some("10.0.0.1:80".parse().unwrap())));
    assert_eq!((a.endpoint.cell, a.endpoint.weight, a.endpoint.readiness), (3, 1.5, Readiness::Ready));
    assert!(a.endpoint.started_at > 0);
    let b = registry.get(2).unwrap();
    assert_eq!((b.address, b.endpoint.readiness, b.endpoint.started_at), (None, Readiness::Draining, 0));
    assert!(registry.get(3).is_none(), "a removed server that was never listed is not registered");
}

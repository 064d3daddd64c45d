//! Tests of the exact bytes of each record in the simulator's protocol.

use rstest::rstest;
use shalereel::interface::{
    Action, Endpoint, EndpointReport, Event, HealthCheckOutcome, Readiness, RetryPolicy, WatchEvent,
};
use shalereel_simulator_codec::{
    decode_batch, encode_action, encode_failure, encode_reply, DecodeError, Record, Reply,
};

/// The header of a batch: its time in milliseconds, as hex.
const BATCH_TIME: &str = "40c06e2000000000";

fn bytes(hex: &str) -> Vec<u8> {
    hex::decode(hex.replace(' ', "")).expect("test data is hex")
}

fn decode(records: &str) -> Result<Vec<Record>, DecodeError> {
    decode_batch(&bytes(&format!("{BATCH_TIME} {records}"))).map(|batch| batch.records)
}

fn endpoint(server: u32, locality: u16, weight: f64, started_at: u64) -> Endpoint {
    Endpoint { server, locality, kind: 0, cell: 0, readiness: Readiness::Ready, weight, started_at }
}

fn load() -> Vec<f64> {
    vec![f64::from(0.62_f32), 14.0]
}

#[rstest]
fn empty_batch_has_only_its_time() {
    let batch = decode_batch(&bytes(BATCH_TIME)).expect("well formed");
    assert_eq!((batch.now, batch.records), (8_412_250_000, vec![]));
}

#[rstest]
#[case::timer_fired("01 00000003 000000000000004d", Event::TimerFired { token: 77 })]
#[case::demand_report("02 00000003 00000009 0000 0029 00000000 409f400000000000",
    Event::DemandReport { proxy: 41, operation: 0, total: 9, failures: 0, window: 2_000_000_000 })]
#[case::peer_message("03 00000003 0002 0004 68692037", Event::PeerMessage { from: 2, content: b"hi 7".to_vec() })]
#[case::health_checked("04 00000003 00 3ff6666666666666 2c9011f2 02 3f1eb852 41600000",
    Event::HealthChecked { server: 0x2c90_11f2, outcome: HealthCheckOutcome::Answered, elapsed: 1_400_000, load: load() })]
#[case::lease_changed("05 00000003 0075 01", Event::LeaseChanged { table: 117, on: true })]
#[case::endpoint_report("06 00000003 03124a07 4048200000000000 408f400000000000 00000001 0000000e 0000 02 3f1eb852 41600000",
    Event::EndpointReport(EndpointReport { server: 0x0312_4a07, locality: 0, attempts: 14, failures: 1, response_time: 48_250_000,
        window: 1_000_000_000, load: load() }))]
#[case::left("08 00000003 0029", Event::Left { proxy: 41 })]
#[case::joined("09 00000003 0029 0000 40d00000 01",
    Event::Joined { proxy: 41, locality: 0, rate: 6.5, is_new: true })]
#[case::recorded_weight("0a 00000003 0075 2c9011f2 3f400000",
    Event::RecordedWeight { table: 117, server: 0x2c90_11f2, weight: 0.75 })]
#[case::endpoints("0c 00000003 02 0000000000000029 00000002 \
    03124a07 0000 0000 0000 01 3f800000 0000000000000000 \
    2c9011f2 0001 0000 0000 01 3fc00000 40b7d40000000000",
    Event::Endpoints(WatchEvent::Cached(vec![endpoint(0x0312_4a07, 0, 1.0, 0), endpoint(0x2c90_11f2, 1, 1.5, 6_100_000_000)])))]
#[case::failed_endpoints("0c 00000003 01 0000000000000029 00000000", Event::Endpoints(WatchEvent::Failed))]
#[case::table_demand("0d 00000003 408f400000000000 0075 0000 00000002 00000017",
    Event::TableDemand { table: 117, operation: 0, total: 23, failures: 2, window: 1_000_000_000 })]
#[case::acknowledged("0e 00000003 0029 000000000000000c 4079c80000000000",
    Event::Acknowledged { proxy: 41, serial: 12, elapsed: 412_500_000 })]
fn event_is_decoded_field_by_field(#[case] record: &str, #[case] event: Event) {
    assert_eq!(decode(record), Ok(vec![Record::Event { instance: 3, event }]));
}

#[rstest]
fn instance_start_and_stop_are_decoded() {
    let start = Record::Start { instance: 3, seed: 5, settings: b"{}".to_vec() };
    let records = "0b 00000003 07 00000003 0000000000000005 00000002 7b7d";
    assert_eq!(decode(records), Ok(vec![Record::Stop { instance: 3 }, start]));
}

#[rstest]
#[case::not_a_number("06 00000003 03124a07 7ff8000000000000 408f400000000000 00000001 0000000e 0000 00")]
#[case::infinite("0e 00000003 0029 000000000000000c 7ff0000000000000")]
#[case::negative("02 00000003 00000009 0000 0029 00000000 c09f400000000000")]
#[case::unknown_watch_event("0c 00000003 09 0000000000000029 00000000")]
fn record_with_an_invalid_value_is_marked_as_invalid(#[case] record: &str) {
    assert_eq!(decode(record), Ok(vec![Record::InvalidValue { instance: 3 }]));
}

#[rstest]
#[case::unknown_code("08 00000003 0029 63", DecodeError::UnknownCode { record: 1, offset: 15, code: 0x63 })]
#[case::truncated("08 00000003 0029 08 0000", DecodeError::TruncatedRecord { record: 1, offset: 15 })]
#[case::truncated_content("03 00000003 0002 ffff 68", DecodeError::TruncatedRecord { record: 0, offset: 8 })]
#[case::truncated_endpoints("0c 00000003 00 0000000000000029 ffffffff", DecodeError::TruncatedRecord { record: 0, offset: 8 })]
fn malformed_record_is_rejected_with_its_offset(#[case] records: &str, #[case] error: DecodeError) {
    assert_eq!(decode(records), Err(error));
}

#[rstest]
#[case::truncated("40c06e")]
#[case::invalid_time("7ff8000000000000")]
fn malformed_header_is_rejected(#[case] frame: &str) {
    assert!(decode_batch(&bytes(frame)).is_err());
}

#[rstest]
#[case("41 00000003 407f400000000000 000000000000004d", Action::SetTimer { delay: 500_000_000, token: 77 })]
#[case("42 00000003 2c9011f2", Action::CheckHealth { server: 0x2c90_11f2 })]
#[case("43 00000003 ffff 0004 68692037", Action::SendToPeer { to: None, content: b"hi 7".to_vec() })]
#[case("44 00000003 0011 74776f2073657276657273206b6e6f776e", Action::Log("two servers known".into()))]
#[case("46 00000003 01", Action::WatchEndpoints { on: true })]
#[case("47 00000003", Action::FetchEndpoints)]
#[case("48 00000003 0075 2c9011f2 3f400000", Action::SetWeight { table: 117, server: 0x2c90_11f2, weight: 0.75 })]
#[case("49 00000003 0075", Action::ClearTable { table: 117 })]
#[case("4a 00000003 2c9011f2 01", Action::Exclude { server: 0x2c90_11f2, on: true })]
#[case("4b 00000003 0029 0075 0000", Action::AssignTable { proxy: 41, table: 117, operations: 0 })]
#[case("4c 00000003 0075 0002 3f400000 01",
    Action::LimitAdmission { table: Some(117), operations: 2, limit: 0.75, retry_policy: RetryPolicy::IfNotExecuted })]
#[case("4c 00000003 ffff 0000 3f800000 03",
    Action::LimitAdmission { table: None, operations: 0, limit: 1.0, retry_policy: RetryPolicy::Twice })]
#[case("4d 00000003 000000000000000c 00", Action::RequestAck { serial: 12, everyone: false })]
fn action_is_encoded_field_by_field(#[case] record: &str, #[case] action: Action) {
    let mut reply = Reply::default();
    encode_action(&mut reply, 3, &action);
    let record = bytes(record);
    let mut frame = vec![0, 0, 0, 1, 0, 0, 0, record.len() as u8];
    frame.extend(record);
    assert_eq!(encode_reply(reply), frame);
}

#[rstest]
fn failure_is_encoded_with_its_text_and_a_long_text_is_truncated() {
    let mut reply = Reply::default();
    encode_failure(&mut reply, 3, "index out of range");
    assert_eq!(encode_reply(reply)[8..], bytes("45 00000003 0012 696e646578206f7574206f662072616e6765"));
    // 65,534 is the length of the longest text of two-byte characters that a 16-bit length allows.
    let mut reply = Reply::default();
    encode_failure(&mut reply, 3, &"é".repeat(40_000));
    assert_eq!(encode_reply(reply).len(), 8 + 7 + 65_534);
}

//! Compatibility of messages: they are encoded in the same way as by an earlier version, so that members, forwarders
//! and operators of both versions can communicate.

use prost::Message;
use shalereel_group::wire::{
    AddressedRoute, AppendEntries, AppendResponse, AssignDuty, AssignRange, BeginDrain, Body, Command,
    CommandPayload, Configuration, ControlRequest, ControlResponse, Duty, Entry, Envelope, Gossip,
    GossipUpdate, HeldRange, LeaseGrant, LeaseRequest, MemberAddress, MemberStatus, MembershipChange,
    MoveRange, OperatorOrder, PeerReports, ProbeKind, Proposal, RangeCleared, RangesRequest, RangesResponse,
    ReleaseOrder, ReportTotals, RequestVote, Snapshot, VoteResponse,
};

/// An encoded message and its name in the file of expected bytes.
struct Encoded {
    name: String,
    bytes: Vec<u8>,
    /// The bytes after decoding and encoding again.
    reencoded: Vec<u8>,
}

fn encoded<M: Message + Default + PartialEq>(name: &str, message: &M) -> Encoded {
    let bytes = message.encode_to_vec();
    let decoded = M::decode(bytes.as_slice()).unwrap();
    assert!(decoded == *message, "{name}: {decoded:?}");
    Encoded { name: name.to_owned(), reencoded: decoded.encode_to_vec(), bytes }
}

fn member(number: u32) -> MemberAddress {
    MemberAddress { id: number, address: format!("10.0.0.{number}:7000") }
}

fn configuration() -> Configuration {
    Configuration { voters: vec![member(1), member(2)], learners: vec![member(3)] }
}

fn commands() -> Vec<(&'static str, CommandPayload)> {
    let assign =
        |duty: Duty, holder| CommandPayload::AssignDuty(AssignDuty { duty: Some(duty.into()), holder });
    vec![
        ("assign duty to merge reports", assign(Duty::MergeReports, 1)),
        ("assign duty to fence a table", assign(Duty::FenceTable(2), 3)),
        ("assign duty to run drains", assign(Duty::RunDrains(4), 5)),
        ("assign duty to place a range", assign(Duty::PlaceRange(6), 7)),
        (
            "operator order, drain",
            CommandPayload::OperatorOrder(OperatorOrder {
                server: 11,
                locality: 12,
                weight_cap_millionths: None,
            }),
        ),
        (
            "operator order, weight cap",
            CommandPayload::OperatorOrder(OperatorOrder {
                server: 13,
                locality: 14,
                weight_cap_millionths: Some(250_000),
            }),
        ),
        (
            "operator order, weight cap of zero",
            CommandPayload::OperatorOrder(OperatorOrder {
                server: 13,
                locality: 14,
                weight_cap_millionths: Some(0),
            }),
        ),
        ("release order", CommandPayload::ReleaseOrder(ReleaseOrder { order_index: 15 })),
        ("begin drain", CommandPayload::BeginDrain(BeginDrain { order_index: 16, epoch: 17 })),
        ("move range", CommandPayload::MoveRange(MoveRange { range: 18, to_server: 19, epoch: 20 })),
        (
            "range cleared",
            CommandPayload::RangeCleared(RangeCleared { range: 21, move_index: 22, by_member: 23 }),
        ),
        ("assign range", CommandPayload::AssignRange(AssignRange { range: 24, move_index: 25, term: 26 })),
        (
            "add member",
            CommandPayload::ChangeMembership(MembershipChange { member: Some(member(27)), removed: false }),
        ),
        (
            "remove member",
            CommandPayload::ChangeMembership(MembershipChange { member: Some(member(28)), removed: true }),
        ),
    ]
}

fn command(payload: CommandPayload) -> Command {
    Command { request_id: 0x0002_0001_0000_0007, payload: Some(payload) }
}

fn gossip(kind: ProbeKind) -> Body {
    let statuses = [MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Dead, MemberStatus::Left];
    let update = |(member, status): (u32, MemberStatus)| GossipUpdate {
        member,
        address: format!("10.0.0.{member}:7000"),
        incarnation: 0x10000 + u64::from(member),
        status: status as i32,
    };
    Body::Gossip(Gossip {
        kind: kind as i32,
        sequence: 31,
        target: 32,
        updates: (1..).zip(statuses).map(update).collect(),
        sender_address: "10.0.0.9:7000".into(),
    })
}

fn request_vote(pre_vote: bool) -> Body {
    Body::RequestVote(RequestVote { term: 71, last_log_index: 72, last_log_term: 70, pre_vote })
}

fn append_response(success: bool) -> Body {
    Body::AppendResponse(AppendResponse { term: 74, success, index: 75, heartbeat_round: 76 })
}

fn append_entries() -> Body {
    let no_op = Entry { index: 52, term: 53, command: None, configuration: None };
    let with_command = Some(command(commands()[0].1.clone()));
    let with_command = Entry { index: 54, command: with_command, ..no_op.clone() };
    let with_configuration = Entry { index: 55, configuration: Some(configuration()), ..no_op.clone() };
    Body::AppendEntries(AppendEntries {
        term: 53,
        prev_log_index: 51,
        prev_log_term: 50,
        entries: vec![no_op, with_command, with_configuration],
        leader_commit: 49,
        heartbeat_round: 56,
    })
}

fn install_snapshot() -> Body {
    Body::InstallSnapshot(Snapshot {
        term: 61,
        last_included_index: 62,
        last_included_term: 60,
        configuration: Some(configuration()),
        state: vec![0, 1, 254, 255],
        heartbeat_round: 63,
    })
}

fn totals() -> ReportTotals {
    ReportTotals {
        servers: vec![41, 42],
        localities: vec![43, 44],
        attempts: vec![450, 460],
        failures: vec![47, 48],
        mean_response_time_us: vec![4_900, 5_000],
        window_ms: vec![1_000, 2_000],
        omitted_rows: 51,
    }
}

/// Bodies of messages between members, with their names in the file.
fn bodies() -> Vec<(&'static str, Body)> {
    let reports = PeerReports { epoch: 83, totals: Some(totals()), reporters: 84 };
    let mut bodies = vec![
        ("ping", gossip(ProbeKind::Ping)),
        ("ack", gossip(ProbeKind::Ack)),
        ("ping request", gossip(ProbeKind::PingRequest)),
        ("vote request", request_vote(false)),
        ("pre-vote request", request_vote(true)),
        ("vote response", Body::VoteResponse(VoteResponse { term: 73, pre_vote: false, granted: true })),
        ("pre-vote response", Body::VoteResponse(VoteResponse { term: 73, pre_vote: true, granted: false })),
        ("append entries", append_entries()),
        ("append response", append_response(true)),
        ("rejecting append response", append_response(false)),
        ("snapshot", install_snapshot()),
        ("lease request", Body::LeaseRequest(LeaseRequest { sent_at: 81 })),
        ("lease grant", Body::LeaseGrant(LeaseGrant { request_sent_at: 81, commit_index: 82 })),
        ("report totals", Body::ReportTotals(totals())),
        ("peer reports", Body::PeerReports(reports)),
    ];
    let propose = |(name, payload)| (name, Body::Proposal(Proposal { command: Some(command(payload)) }));
    bodies.extend(commands().into_iter().map(propose));
    bodies
}

/// One message of each kind.
fn messages() -> Vec<Encoded> {
    let envelope = |(name, body)| {
        let envelope = Envelope { from: 1, to: 2, group_hash: 0x8a9b_acbd, body: Some(body) };
        encoded(&format!("members: {name}"), &envelope)
    };
    let mut found: Vec<Encoded> = bodies().into_iter().map(envelope).collect();
    let held = vec![HeldRange { range: 91, epoch: 92 }, HeldRange { range: 93, epoch: 94 }];
    let routes = vec![
        AddressedRoute { range: 95, owner: 96, epoch: 97, address: "10.0.1.1:8000".into() },
        AddressedRoute { range: 98, owner: 99, epoch: 100, address: "10.0.1.2:8000".into() },
    ];
    let answer = |request_sent_at, routes_omitted, routes| RangesResponse {
        request_sent_at,
        sequence: 104,
        tenure: 1_000_000_000,
        routes_omitted,
        routes,
        range_count: 105,
    };
    found.push(encoded("ranges: request", &RangesRequest { sent_at: 101, last_response_read: 102, held }));
    found.push(encoded("ranges: response", &answer(101, false, routes.clone())));
    found.push(encoded("ranges: unsolicited response", &answer(0, false, routes)));
    found.push(encoded("ranges: response without a lease", &answer(101, true, Vec::new())));
    found.push(encoded("control: status request", &ControlRequest { command: None }));
    for (name, payload) in commands() {
        let command = Some(Command { request_id: 0, payload: Some(payload) });
        found.push(encoded(&format!("control: {name}"), &ControlRequest { command }));
    }
    let json = "{\"order\":7}".to_owned();
    found.push(encoded("control: response", &ControlResponse { json }));
    found
}

/// Renders one line per message: its name, a colon, and its bytes in hexadecimal digits.
fn render(messages: &[Encoded]) -> String {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    messages.iter().map(|message| format!("{}: {}\n", message.name, hex(&message.bytes))).collect()
}

/// Guards against a renamed or reordered field that changes the wire format, which the compiler does not detect.
#[test]
fn messages_are_encoded_as_by_the_earlier_version() {
    let messages = messages();
    let expected = include_str!("stored/messages.txt");
    assert_eq!(render(&messages), expected);
    assert!(messages.iter().all(|message| message.reencoded == message.bytes));
}

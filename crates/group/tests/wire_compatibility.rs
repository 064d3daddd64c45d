//! Messages as an earlier version encoded them: members, forwarders and operators of both versions understand each
//! other.

use prost::Message;
use shalereel_group::wire::{
    Act, Append, Appended, Ask, Assign, Begin, Body, Cleared, Command, ControlAnswer, ControlAsk, Duty,
    Entry, Envelope, Give, Gossip, HeldRange, Move, Order, Others, Probe, Propose, RangeTold, RangesAnswer,
    RangesAsk, Release, Renew, Renewed, Rumour, Seat, SeatChange, Seats, Snapshot, Standing, Sums, Voted,
};

/// One encoded message and its name in the file of expected bytes.
pub struct Encoded {
    name: String,
    bytes: Vec<u8>,
    /// Decoded and encoded again.
    again: Vec<u8>,
}

fn encoded<M: Message + Default + PartialEq>(name: &str, message: &M) -> Encoded {
    let bytes = message.encode_to_vec();
    let decoded = M::decode(bytes.as_slice()).unwrap();
    assert!(decoded == *message, "{name}: {decoded:?}");
    Encoded { name: name.to_owned(), again: decoded.encode_to_vec(), bytes }
}

fn member(number: u32) -> Seat {
    Seat { number, address: format!("10.0.0.{number}:7000") }
}

fn configuration() -> Seats {
    Seats { voters: vec![member(1), member(2)], learners: vec![member(3)] }
}

fn commands() -> Vec<(&'static str, Act)> {
    let assign = |duty: Duty, holder| Act::Assign(Assign { duty: Some(duty.into()), holder });
    vec![
        ("assign reports", assign(Duty::Reports, 1)),
        ("assign table", assign(Duty::Table(2), 3)),
        ("assign drains", assign(Duty::Drains(4), 5)),
        ("assign range", assign(Duty::Range(6), 7)),
        ("drain", Act::Order(Order { server: 11, locality: 12, hold: None })),
        ("hold", Act::Order(Order { server: 13, locality: 14, hold: Some(250_000) })),
        ("hold at zero", Act::Order(Order { server: 13, locality: 14, hold: Some(0) })),
        ("release", Act::Release(Release { order: 15 })),
        ("begin", Act::Begin(Begin { order: 16, epoch: 17 })),
        ("move", Act::Move(Move { range: 18, to: 19, epoch: 20 })),
        ("cleared", Act::Cleared(Cleared { range: 21, moved: 22, by: 23 })),
        ("give", Act::Give(Give { range: 24, moved: 25, term: 26 })),
        ("member in", Act::Seat(SeatChange { seat: Some(member(27)), out: false })),
        ("member out", Act::Seat(SeatChange { seat: Some(member(28)), out: true })),
    ]
}

fn command(act: Act) -> Command {
    Command { request: 0x0002_0001_0000_0007, act: Some(act) }
}

fn bodies() -> Vec<(&'static str, Body)> {
    let (standings, probes) = (
        [Standing::Alive, Standing::Suspect, Standing::Dead, Standing::Left],
        [("ping", Probe::Ping), ("ack", Probe::Ack), ("indirect ping", Probe::Indirect)],
    );
    let rumour = |number: u32, standing: Standing| Rumour {
        number,
        address: format!("10.0.0.{number}:7000"),
        incarnation: 0x10000 + u64::from(number),
        standing: standing as i32,
    };
    let gossip = |probe: Probe| {
        let rumours = (1..).zip(standings).map(|(number, standing)| rumour(number, standing)).collect();
        let address = "10.0.0.9:7000".into();
        Body::Gossip(Gossip { probe: probe as i32, seq: 31, about: 32, rumours, address })
    };
    let sums = Sums {
        server: vec![41, 42],
        locality: vec![43, 44],
        tries: vec![450, 460],
        lost: vec![47, 48],
        time_us: vec![4_900, 5_000],
        window_ms: vec![1_000, 2_000],
        left_out: 51,
    };
    let first = Entry { index: 52, term: 53, command: None, seats: None };
    let with_command =
        Entry { index: 54, term: 53, command: Some(command(commands()[0].1.clone())), seats: None };
    let with_members = Entry { index: 55, term: 53, command: None, seats: Some(configuration()) };
    let append = Append {
        term: 53,
        prev_index: 51,
        prev_term: 50,
        entries: vec![first, with_command, with_members],
        commit: 49,
        round: 56,
    };
    let snapshot = Snapshot {
        term: 61,
        index: 62,
        index_term: 60,
        seats: Some(configuration()),
        state: vec![0, 1, 254, 255],
        round: 63,
    };
    let mut bodies: Vec<(&str, Body)> = probes.map(|(name, probe)| (name, gossip(probe))).into();
    bodies.extend([
        ("ask", Body::Ask(Ask { term: 71, last_index: 72, last_term: 70, pre: false })),
        ("ask before", Body::Ask(Ask { term: 71, last_index: 72, last_term: 70, pre: true })),
        ("voted", Body::Voted(Voted { term: 73, pre: false, granted: true })),
        ("voted before", Body::Voted(Voted { term: 73, pre: true, granted: false })),
        ("append", Body::Append(append)),
        ("appended", Body::Appended(Appended { term: 74, fits: true, index: 75, round: 76 })),
        ("not appended", Body::Appended(Appended { term: 74, fits: false, index: 75, round: 76 })),
        ("snapshot", Body::Snapshot(snapshot)),
        ("renew", Body::Renew(Renew { sent: 81 })),
        ("renewed", Body::Renewed(Renewed { sent: 81, commit: 82 })),
        ("sums", Body::Sums(sums.clone())),
        ("others", Body::Others(Others { epoch: 83, sums: Some(sums), supervisors: 84 })),
    ]);
    let propose = |(name, act)| (name, Body::Propose(Propose { command: Some(command(act)) }));
    bodies.extend(commands().into_iter().map(propose));
    bodies
}

/// One message of each kind.
pub fn messages() -> Vec<Encoded> {
    let envelope = |(name, body)| {
        let envelope = Envelope { from: 1, to: 2, group: 0x8a9b_acbd, body: Some(body) };
        encoded(&format!("members: {name}"), &envelope)
    };
    let mut found: Vec<Encoded> = bodies().into_iter().map(envelope).collect();
    let holds = vec![HeldRange { range: 91, epoch: 92 }, HeldRange { range: 93, epoch: 94 }];
    let lines = vec![
        RangeTold { range: 95, owner: 96, epoch: 97, address: "10.0.1.1:8000".into() },
        RangeTold { range: 98, owner: 99, epoch: 100, address: "10.0.1.2:8000".into() },
    ];
    let answer = |asked, silent, lines| RangesAnswer {
        asked,
        number: 104,
        tenure: 1_000_000_000,
        silent,
        lines,
        ranges: 105,
    };
    found.push(encoded("ranges: question", &RangesAsk { asked: 101, seen: 102, holds }));
    found.push(encoded("ranges: answer", &answer(101, false, lines.clone())));
    found.push(encoded("ranges: what stands", &answer(0, false, lines)));
    found.push(encoded("ranges: without a lease", &answer(101, true, Vec::new())));
    found.push(encoded("control: state", &ControlAsk { order: None }));
    for (name, act) in commands() {
        let order = Some(Command { request: 0, act: Some(act) });
        found.push(encoded(&format!("control: {name}"), &ControlAsk { order }));
    }
    let told = "{\"order\":7}".to_owned();
    found.push(encoded("control: answer", &ControlAnswer { told }));
    found
}

/// One line a message: its name, a colon, its bytes in hexadecimal digits.
pub fn render(messages: &[Encoded]) -> String {
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    messages.iter().map(|message| format!("{}: {}\n", message.name, hex(&message.bytes))).collect()
}

/// Guards against a renamed or moved field that changes what goes over the wire without a word from the compiler.
#[test]
fn messages_are_encoded_as_by_the_earlier_version() {
    let messages = messages();
    let expected = include_str!("stored/messages.txt");
    assert_eq!(render(&messages), expected);
    assert!(messages.iter().all(|message| message.again == message.bytes));
}

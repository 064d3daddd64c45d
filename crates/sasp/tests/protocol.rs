//! Hand-assembled frames of every message, cuts and nonsense, and what peers may and may not do.

use std::net::Ipv6Addr;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use shalereel_sasp::weights::Figure;
use shalereel_sasp::*;

fn member(port: u16) -> Member {
    Member { protocol: 6, port, address: "::ffff:127.0.0.1".parse().unwrap(), label: b"m".to_vec() }
}

fn group(balancer: &str, name: &str) -> Group {
    Group { balancer: balancer.into(), name: name.into() }
}

/// The header of a message of so many bytes, with id 7.
fn header(body: usize) -> Vec<u8> {
    [&[0x20, 0x10, 0, 13, 1][..], &(13 + body as u32).to_be_bytes(), &[0, 0, 0, 7]].concat()
}

/// Member data: type, 25 bytes, TCP, port 80, ::ffff:127.0.0.1, label "m".
const MEMBER: &[u8] =
    &[0x30, 0x10, 0, 25, 6, 0, 80, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 127, 0, 0, 1, 1, b'm'];
/// Group data: type, 10 bytes, balancer "lb", name "xy".
const GROUP: &[u8] = &[0x30, 0x11, 0, 10, 2, b'l', b'b', 2, b'x', b'y'];

fn entry() -> WeightEntry {
    WeightEntry {
        state: 9,
        contact: true,
        quiesce: false,
        registered_by_balancer: true,
        confident: true,
        weight: 0x0102,
        member: member(80),
    }
}

#[rstest]
#[case::register(
    Body::Register { from_balancer: true, groups: vec![(group("lb", "xy"), vec![member(80)])] },
    [&[0x10, 0x10, 0, 7, 1, 0, 1][..], &[0x40, 0x10, 0, 6, 0, 1], GROUP, MEMBER].concat()
)]
#[case::registered(Body::Registered(ReturnCode::AlreadyRegistered), [&[0x10, 0x15, 0, 5, 0x40][..]].concat())]
#[case::deregister(
    Body::Deregister { from_balancer: false, reason: 3, groups: vec![(group("lb", "xy"), vec![])] },
    [&[0x10, 0x20, 0, 8, 0, 3, 0, 1][..], &[0x40, 0x10, 0, 6, 0, 0], GROUP].concat()
)]
#[case::deregistered(Body::Deregistered(ReturnCode::Other(0x99)), [&[0x10, 0x25, 0, 5, 0x99][..]].concat())]
#[case::get_weights(Body::GetWeights { groups: vec![group("lb", "xy")] }, [&[0x10, 0x30, 0, 6, 0, 1][..], GROUP].concat())]
#[case::weights(
    Body::Weights { code: ReturnCode::Successful, interval: 60, groups: vec![(group("lb", "xy"), vec![entry()])] },
    [
        &[0x10, 0x35, 0, 9, 0, 0, 60, 0, 1][..],
        &[0x40, 0x11, 0, 6, 0, 1],
        GROUP,
        &[0x30, 0x12, 0, 8, 9, 0x0d, 1, 2],
        MEMBER,
    ].concat()
)]
#[case::send_weights(
    Body::SendWeights { groups: vec![(group("lb", "xy"), vec![entry()])] },
    [&[0x10, 0x40, 0, 6, 0, 1][..], &[0x40, 0x11, 0, 6, 0, 1], GROUP, &[0x30, 0x12, 0, 8, 9, 0x0d, 1, 2], MEMBER].concat()
)]
#[case::set_lb_state(
    Body::SetLbState {
        balancer: b"lb".to_vec(),
        health: 0x7f,
        flags: LbFlags { push: true, trust: false, no_change: true },
    },
    [&[0x10, 0x50, 0, 9, 2, b'l', b'b', 0x7f, 0x05][..]].concat()
)]
#[case::lb_state_set(Body::LbStateSet(ReturnCode::Successful), [&[0x10, 0x55, 0, 5, 0][..]].concat())]
#[case::set_member_state(
    Body::SetMemberState {
        from_balancer: true,
        groups: vec![(
            group("lb", "xy"),
            vec![MemberState { state: 1, contact: false, quiesce: true, member: member(80) }],
        )],
    },
    [&[0x10, 0x60, 0, 7, 1, 0, 1][..], &[0x40, 0x12, 0, 6, 0, 1], GROUP, &[0x30, 0x13, 0, 6, 1, 0x02], MEMBER].concat()
)]
#[case::member_state_set(Body::MemberStateSet(ReturnCode::TryLater), [&[0x10, 0x65, 0, 5, 0x61][..]].concat())]
fn each_message_by_hand_both_ways(#[case] body: Body, #[case] content: Vec<u8>) {
    let wire = [header(content.len()), content].concat();
    let message = Message { id: 7, body };
    assert_eq!(message.encode(), wire);
    // One message over many reads, and two in one; cut at every byte it waits.
    for cut in 0..wire.len() {
        let mut frames = Frames::new(1024);
        frames.push(&wire[..cut]);
        assert_eq!(frames.take(), Ok(None), "cut at {cut}");
        frames.push(&wire[cut..]);
        frames.push(&wire);
        assert_eq!(frames.take(), Ok(Some(message.clone())));
        assert_eq!(frames.take(), Ok(Some(message.clone())));
        assert_eq!((frames.take(), frames.unfinished()), (Ok(None), 0));
    }
}

#[rstest]
#[case::no_header(vec![0x10, 0x10], DecodeError::Component { found: 0x1010, wanted: 0x2010 })]
#[case::header_length(vec![0x20, 0x10, 0, 12], DecodeError::HeaderLength(12))]
#[case::version(vec![0x20, 0x10, 0, 13, 2], DecodeError::Version(2))]
#[case::too_long(
    [&[0x20, 0x10, 0, 13, 1, 0x7f, 0xff, 0xff, 0xff][..], &[0; 4]].concat(),
    DecodeError::TooLong { size: 0x7fff_ffff, most: 1024 }
)]
#[case::too_short([header(0)].concat(), DecodeError::CutShort(0x2010))]
#[case::unknown([header(4), vec![0x99, 0x99, 0, 4]].concat(), DecodeError::UnknownMessage(0x9999))]
#[case::component_length(
    [header(5), vec![0x10, 0x15, 0, 9, 0]].concat(),
    DecodeError::Length { component: 0x1015, said: 9, has: 5 }
)]
#[case::promises_more([header(6), vec![0x10, 0x30, 0, 6, 0xff, 0xff]].concat(), DecodeError::CutShort(0x3011))]
#[case::left([header(6), vec![0x10, 0x15, 0, 5, 0, 1]].concat(), DecodeError::Left(1))]
fn departures_are_refused_by_name(#[case] wire: Vec<u8>, #[case] error: DecodeError) {
    let mut frames = Frames::new(1024);
    frames.push(&wire);
    assert_eq!(frames.take(), Err(error));
}

fn members() -> impl Strategy<Value = Vec<Member>> {
    let member = (any::<u8>(), any::<u16>(), any::<u128>(), prop::collection::vec(any::<u8>(), 0..20));
    let member = member.prop_map(|(protocol, port, address, label)| Member {
        protocol,
        port,
        address: Ipv6Addr::from(address),
        label,
    });
    prop::collection::vec(member, 0..10)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128, failure_persistence: None, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::default()
    })]
    #[test]
    fn registrations_come_back(id: u32, from_balancer: bool, members in members(), name in "[a-z]{0,30}") {
        let message =
            Message { id, body: Body::Register { from_balancer, groups: vec![(group("lb", &name), members)] } };
        let mut frames = Frames::new(1 << 16);
        frames.push(&message.encode());
        prop_assert_eq!(frames.take(), Ok(Some(message)));
    }

    #[test]
    fn nothing_that_comes_is_a_panic(kind in 0_u16..0x70, bytes in prop::collection::vec(any::<u8>(), 0..120)) {
        let body = [&(0x1000 + kind).to_be_bytes()[..], &bytes].concat();
        let mut frames = Frames::new(1024);
        frames.push(&[header(body.len()), body].concat());
        let _ = frames.take();
    }
}

const BOUNDS: Bounds = Bounds { members: 100, groups: 10, asks: 3, interval: 5 };

struct World {
    advisor: Advisor,
    changes: Vec<Change>,
    /// By port.
    table: Vec<(u16, Figure)>,
}

impl World {
    /// Balancer "lb" on peer 1 with two members, a second connection on peer 2.
    fn new() -> Self {
        let mut world = World { advisor: Advisor::new(BOUNDS), changes: vec![], table: vec![] };
        [1, 2].into_iter().for_each(|peer| world.advisor.opened(peer));
        let groups = vec![(group("lb", "view"), vec![member(1), member(2)])];
        assert_eq!(
            world.ask(1, Body::Register { from_balancer: true, groups }),
            Body::Registered(ReturnCode::Successful)
        );
        world.table =
            vec![(1, Figure { weight: 2.0, cold: false }), (2, Figure { weight: 1.0, cold: false })];
        world
    }

    fn ask(&mut self, peer: u64, body: Body) -> Body {
        let table = self.table.clone();
        let lookup =
            move |_: &Group, member: &Member| table.iter().find(|row| row.0 == member.port).map(|row| row.1);
        let answers = self.advisor.hear(peer, Message { id: 3, body }, &lookup, &mut self.changes);
        match &answers[..] {
            [Answer::Say(to, message)] if *to == peer && message.id == 3 => message.body.clone(),
            other => panic!("{other:?}"),
        }
    }

    fn push(&mut self, peer: u64) -> Vec<(u16, u16, bool)> {
        let table = self.table.clone();
        let lookup =
            move |_: &Group, member: &Member| table.iter().find(|row| row.0 == member.port).map(|row| row.1);
        match self.advisor.push(peer, &lookup).map(|message| message.body) {
            Some(Body::SendWeights { groups }) => entries(&groups),
            None => vec![],
            other => panic!("{other:?}"),
        }
    }
}

fn entries(groups: &[(Group, Vec<WeightEntry>)]) -> Vec<(u16, u16, bool)> {
    groups.iter().flat_map(|(_, all)| all).map(|e| (e.member.port, e.weight, e.quiesce)).collect()
}

fn lb_state(push: bool, trust: bool, no_change: bool) -> Body {
    Body::SetLbState { balancer: b"lb".to_vec(), health: 1, flags: LbFlags { push, trust, no_change } }
}

#[test]
fn weights_are_answered_and_a_drained_member_is_quiesced() {
    let mut world = World::new();
    let ask = || Body::GetWeights { groups: vec![group("lb", "view")] };
    let Body::Weights { code, interval, groups } = world.ask(1, ask()) else { panic!() };
    assert_eq!((code, interval), (ReturnCode::Successful, 5));
    assert_eq!(entries(&groups), [(1, 65535, false), (2, 32768, false)]);
    // Out of the tables: weight 0 and quiesce, though the balancer registered it.
    world.table.remove(0);
    let Body::Weights { groups, .. } = world.ask(1, ask()) else { panic!() };
    assert_eq!(entries(&groups), [(1, 0, true), (2, 65535, false)]);
    assert!(!groups[0].1[0].confident && groups[0].1[1].confident);
    // Asking again and again costs the asker.
    world.ask(1, ask());
    assert!(matches!(world.ask(1, ask()), Body::Weights { code: ReturnCode::TryLater, .. }));
    world.advisor.tick();
    assert!(matches!(world.ask(1, ask()), Body::Weights { code: ReturnCode::Successful, .. }));
}

#[test]
fn pushes_go_where_wanted_and_say_what_changed() {
    let mut world = World::new();
    assert_eq!(world.push(1), [], "not asked for");
    world.ask(1, lb_state(true, false, true));
    assert_eq!(world.push(1).len(), 2);
    assert_eq!(world.push(1), [], "nothing changed");
    world.table[1].1.weight = 2.0;
    assert_eq!(world.push(1), [(2, 65535, false)], "what changed alone");
    world.ask(1, lb_state(true, false, false));
    world.table[1].1.weight = 1.0;
    assert_eq!(world.push(1).len(), 2, "all of a group in which something changed");
    assert_eq!(world.push(2), []);
}

#[test]
fn members_speak_for_themselves_where_they_are_trusted() {
    let mut world = World::new();
    let register = |port| Body::Register {
        from_balancer: false,
        groups: vec![(group("lb", "view"), vec![member(port)])],
    };
    assert_eq!(world.ask(2, register(9)), Body::Registered(ReturnCode::WillNotAccept), "no trust");
    world.ask(1, lb_state(false, true, false));
    assert_eq!(world.ask(2, register(9)), Body::Registered(ReturnCode::Successful));
    let quiesce = |port, quiesce| Body::SetMemberState {
        from_balancer: false,
        groups: vec![(
            group("lb", "view"),
            vec![MemberState { state: 0, contact: true, quiesce, member: member(port) }],
        )],
    };
    assert_eq!(world.ask(2, quiesce(9, true)), Body::MemberStateSet(ReturnCode::Successful));
    assert_eq!(world.ask(2, quiesce(1, true)), Body::MemberStateSet(ReturnCode::WillNotAccept), "not itself");
    let member_9 =
        |there, quiesce| Change::Member { group: group("lb", "view"), member: member(9), there, quiesce };
    assert_eq!(world.changes.last(), Some(&member_9(true, true)));
    // It takes itself away by ending its connection.
    world.advisor.closed(2, &mut world.changes);
    assert_eq!((world.changes.last(), world.advisor.members()), (Some(&member_9(false, false)), 2));
    world.advisor.closed(1, &mut world.changes);
    assert_eq!((world.changes.last(), world.advisor.members()), (Some(&Change::Left { peer: 1 }), 0));
}

#[rstest]
#[case::anothers_group(2, true, vec![("lb", "view", vec![])], ReturnCode::WillNotAccept)]
#[case::no_such_group(1, true, vec![("lb", "other", vec![])], ReturnCode::InvalidGroup)]
#[case::not_registered(1, true, vec![("lb", "view", vec![8])], ReturnCode::NotRegistered)]
#[case::no_name(1, true, vec![("lb", "", vec![1])], ReturnCode::InvalidGroupNameSize)]
#[case::no_uid(2, true, vec![("", "view", vec![1])], ReturnCode::InvalidUidSize)]
#[case::half_wrong(1, true, vec![("lb", "view", vec![1, 8])], ReturnCode::NotRegistered)]
fn a_wrong_deregistration_takes_nothing_away(
    #[case] peer: u64,
    #[case] from_balancer: bool,
    #[case] groups: Vec<(&str, &str, Vec<u16>)>,
    #[case] code: ReturnCode,
) {
    let mut world = World::new();
    let groups = groups
        .into_iter()
        .map(|(balancer, name, ports)| (group(balancer, name), ports.into_iter().map(member).collect()));
    let groups = groups.collect();
    let answer = world.ask(peer, Body::Deregister { from_balancer, reason: 0, groups });
    assert_eq!((answer, world.advisor.members()), (Body::Deregistered(code), 2));
}

#[rstest]
#[case::again(1, 1..2, ReturnCode::AlreadyRegistered)]
#[case::anothers(2, 5..6, ReturnCode::WillNotAccept)]
#[case::too_many(1, 10..109, ReturnCode::TryLater)]
fn a_wrong_registration_adds_nothing(
    #[case] peer: u64,
    #[case] ports: std::ops::Range<u16>,
    #[case] code: ReturnCode,
) {
    let mut world = World::new();
    let groups = vec![(group("lb", "view"), ports.map(member).collect())];
    let answer = world.ask(peer, Body::Register { from_balancer: true, groups });
    assert_eq!((answer, world.advisor.members()), (Body::Registered(code), 2));
}

#[test]
fn a_reply_where_a_request_is_due_ends_the_connection() {
    let mut world = World::new();
    let message = Message { id: 1, body: Body::Registered(ReturnCode::Successful) };
    let answers = world.advisor.hear(1, message, &|_, _| None, &mut world.changes);
    assert!(matches!(answers[..], [Answer::End(1, _)]));
}

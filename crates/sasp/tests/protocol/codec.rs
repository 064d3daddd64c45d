//! Encoding and decoding of every message against hand-assembled bytes, and partial and malformed input.

use std::net::Ipv6Addr;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use shalereel_sasp::*;

use super::{group, member};

/// The header of a message with id 7 whose body has this length.
fn header(body_bytes: usize) -> Vec<u8> {
    [&[0x20, 0x10, 0, 13, 1][..], &(13 + body_bytes as u32).to_be_bytes(), &[0, 0, 0, 7]].concat()
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
fn message_encodes_to_and_decodes_from_hand_assembled_bytes(#[case] body: Body, #[case] content: Vec<u8>) {
    let wire = [header(content.len()), content].concat();
    let message = Message { id: 7, body };
    assert_eq!(message.encode(), wire);
    // The first message arrives in two chunks, split at every byte in turn; the second chunk contains another message too.
    for cut in 0..wire.len() {
        let mut frames = Frames::new(1024);
        frames.push(&wire[..cut]);
        assert_eq!(frames.take(), Ok(None), "cut at {cut}");
        frames.push(&wire[cut..]);
        frames.push(&wire);
        assert_eq!(frames.take(), Ok(Some(message.clone())));
        assert_eq!(frames.take(), Ok(Some(message.clone())));
        assert_eq!((frames.take(), frames.incomplete_bytes()), (Ok(None), 0));
    }
}

#[rstest]
#[case::no_header(vec![0x10, 0x10], DecodeError::UnexpectedComponent { found: 0x1010, expected: 0x2010 })]
#[case::header_length(vec![0x20, 0x10, 0, 12], DecodeError::HeaderLength(12))]
#[case::version(vec![0x20, 0x10, 0, 13, 2], DecodeError::Version(2))]
#[case::too_long(
    [&[0x20, 0x10, 0, 13, 1, 0x7f, 0xff, 0xff, 0xff][..], &[0; 4]].concat(),
    DecodeError::MessageTooLong { size: 0x7fff_ffff, limit: 1024 }
)]
#[case::too_short([header(0)].concat(), DecodeError::Truncated(0x2010))]
#[case::unknown_message([header(4), vec![0x99, 0x99, 0, 4]].concat(), DecodeError::UnknownMessage(0x9999))]
#[case::component_length(
    [header(5), vec![0x10, 0x15, 0, 9, 0]].concat(),
    DecodeError::ComponentLength { component: 0x1015, stated: 9, actual: 5 }
)]
#[case::count_over_content([header(6), vec![0x10, 0x30, 0, 6, 0xff, 0xff]].concat(), DecodeError::Truncated(0x3011))]
#[case::trailing_bytes([header(6), vec![0x10, 0x15, 0, 5, 0, 1]].concat(), DecodeError::TrailingBytes(1))]
fn malformed_stream_is_rejected_with_the_cause(#[case] wire: Vec<u8>, #[case] error: DecodeError) {
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
    fn encoded_registration_decodes_to_itself(id: u32, from_balancer: bool, members in members(), name in "[a-z]{0,30}") {
        let message =
            Message { id, body: Body::Register { from_balancer, groups: vec![(group("lb", &name), members)] } };
        let mut frames = Frames::new(1 << 16);
        frames.push(&message.encode());
        prop_assert_eq!(frames.take(), Ok(Some(message)));
    }

    #[test]
    fn arbitrary_bytes_never_panic(kind in 0_u16..0x70, bytes in prop::collection::vec(any::<u8>(), 0..120)) {
        let body = [&(0x1000 + kind).to_be_bytes()[..], &bytes].concat();
        let mut frames = Frames::new(1024);
        frames.push(&[header(body.len()), body].concat());
        let _ = frames.take();
    }
}

//! The workload manager: registration, weights, and which requests each peer may make.

use std::collections::BTreeMap;

use rstest::rstest;
use shalereel_sasp::weights::TableWeight;
use shalereel_sasp::*;

use super::{group, member};

const LIMITS: BalancerLimits = BalancerLimits { members: 100, groups: 10, weight_requests: 3, interval: 5 };

struct Harness {
    advisor: Advisor,
    changes: Vec<Change>,
    /// Weights in the table, by the member's port.
    table: BTreeMap<u16, TableWeight>,
}

/// The fields of a weight entry that the tests compare.
#[derive(Debug, PartialEq)]
struct Weight {
    port: u16,
    weight: u16,
    quiesce: bool,
}

const fn table_weight(weight: f64) -> TableWeight {
    TableWeight { weight, warming_up: false }
}

impl Harness {
    /// Peer 1 is the load balancer "lb" with two members; peer 2 is another connection.
    fn new() -> Self {
        let table = BTreeMap::from([(1, table_weight(2.0)), (2, table_weight(1.0))]);
        let mut harness = Harness { advisor: Advisor::new(LIMITS), changes: vec![], table };
        [1, 2].into_iter().for_each(|peer| harness.advisor.opened(peer));
        let groups = vec![(group("lb", "view"), vec![member(1), member(2)])];
        assert_eq!(
            harness.request(1, Body::Register { from_balancer: true, groups }),
            Body::Registered(ReturnCode::Successful)
        );
        harness
    }

    fn request(&mut self, peer: u64, body: Body) -> Body {
        let lookup = |_: &Group, member: &Member| self.table.get(&member.port).copied();
        let answers = self.advisor.handle_message(peer, Message { id: 3, body }, &lookup, &mut self.changes);
        match &answers[..] {
            [Answer::Send(to, message)] if *to == peer && message.id == 3 => message.body.clone(),
            other => panic!("{other:?}"),
        }
    }

    fn push(&mut self, peer: u64) -> Vec<Weight> {
        let lookup = |_: &Group, member: &Member| self.table.get(&member.port).copied();
        match self.advisor.push(peer, &lookup).map(|message| message.body) {
            Some(Body::SendWeights { groups }) => weights(&groups),
            None => vec![],
            other => panic!("{other:?}"),
        }
    }
}

fn weights(groups: &[GroupOf<WeightEntry>]) -> Vec<Weight> {
    let entries = groups.iter().flat_map(|(_, entries)| entries);
    entries
        .map(|entry| Weight { port: entry.member.port, weight: entry.weight, quiesce: entry.quiesce })
        .collect()
}

const NO_FLAGS: LbFlags = LbFlags { push: false, trust: false, no_change: false };

fn lb_state(flags: LbFlags) -> Body {
    Body::SetLbState { balancer: b"lb".to_vec(), health: 1, flags }
}

#[test]
fn get_weights_reply_quiesces_member_without_a_line_and_requests_are_limited_per_report_interval() {
    let mut harness = Harness::new();
    let get_weights = || Body::GetWeights { groups: vec![group("lb", "view")] };
    let Body::Weights { code, interval, groups } = harness.request(1, get_weights()) else { panic!() };
    assert_eq!((code, interval), (ReturnCode::Successful, 5));
    assert_eq!(
        weights(&groups),
        [
            Weight { port: 1, weight: 65535, quiesce: false },
            Weight { port: 2, weight: 32768, quiesce: false }
        ]
    );
    // A member in no table has weight 0 and the quiesce flag, although the load balancer registered it.
    harness.table.remove(&1);
    let Body::Weights { groups, .. } = harness.request(1, get_weights()) else { panic!() };
    assert_eq!(
        weights(&groups),
        [Weight { port: 1, weight: 0, quiesce: true }, Weight { port: 2, weight: 65535, quiesce: false }]
    );
    assert!(!groups[0].1[0].confident && groups[0].1[1].confident);
    // Requests over the limit of a report interval are rejected.
    harness.request(1, get_weights());
    assert!(matches!(harness.request(1, get_weights()), Body::Weights { code: ReturnCode::TryLater, .. }));
    harness.advisor.start_report_interval();
    assert!(matches!(harness.request(1, get_weights()), Body::Weights { code: ReturnCode::Successful, .. }));
}

#[test]
fn weights_are_pushed_only_if_the_balancer_requests_it_and_they_have_changed() {
    let mut harness = Harness::new();
    assert_eq!(harness.push(1), [], "no push flag");
    harness.request(1, lb_state(LbFlags { push: true, no_change: true, ..NO_FLAGS }));
    assert_eq!(harness.push(1).len(), 2);
    assert_eq!(harness.push(1), [], "nothing changed");
    harness.table.insert(2, table_weight(2.0));
    assert_eq!(
        harness.push(1),
        [Weight { port: 2, weight: 65535, quiesce: false }],
        "only the changed entry"
    );
    harness.request(1, lb_state(LbFlags { push: true, ..NO_FLAGS }));
    harness.table.insert(2, table_weight(1.0));
    assert_eq!(harness.push(1).len(), 2, "all entries of a changed group");
    assert_eq!(harness.push(2), []);
}

#[test]
fn trusted_member_registers_and_quiesces_itself_alone_until_it_disconnects() {
    let mut harness = Harness::new();
    let register = |port| Body::Register {
        from_balancer: false,
        groups: vec![(group("lb", "view"), vec![member(port)])],
    };
    assert_eq!(harness.request(2, register(9)), Body::Registered(ReturnCode::WillNotAccept), "no trust flag");
    harness.request(1, lb_state(LbFlags { trust: true, ..NO_FLAGS }));
    assert_eq!(harness.request(2, register(9)), Body::Registered(ReturnCode::Successful));
    let quiesce = |port, quiesce| Body::SetMemberState {
        from_balancer: false,
        groups: vec![(
            group("lb", "view"),
            vec![MemberState { state: 0, contact: true, quiesce, member: member(port) }],
        )],
    };
    assert_eq!(harness.request(2, quiesce(9, true)), Body::MemberStateSet(ReturnCode::Successful));
    assert_eq!(
        harness.request(2, quiesce(1, true)),
        Body::MemberStateSet(ReturnCode::WillNotAccept),
        "another member"
    );
    let member_9 = |registered, quiesce| Change::Member {
        group: group("lb", "view"),
        member: member(9),
        registered,
        quiesce,
    };
    assert_eq!(harness.changes.last(), Some(&member_9(true, true)));
    // The member is deregistered when its connection ends.
    harness.advisor.closed(2, &mut harness.changes);
    assert_eq!((harness.changes.last(), harness.advisor.member_count()), (Some(&member_9(false, false)), 2));
    harness.advisor.closed(1, &mut harness.changes);
    assert_eq!(
        (harness.changes.last(), harness.advisor.member_count()),
        (Some(&Change::Left { peer: 1 }), 0)
    );
}

#[rstest]
#[case::group_of_another_balancer(2, true, vec![("lb", "view", vec![])], ReturnCode::WillNotAccept)]
#[case::unknown_group(1, true, vec![("lb", "other", vec![])], ReturnCode::InvalidGroup)]
#[case::not_registered(1, true, vec![("lb", "view", vec![8])], ReturnCode::NotRegistered)]
#[case::empty_group_name(1, true, vec![("lb", "", vec![1])], ReturnCode::InvalidGroupNameSize)]
#[case::empty_balancer_id(2, true, vec![("", "view", vec![1])], ReturnCode::InvalidUidSize)]
#[case::one_of_two_not_registered(1, true, vec![("lb", "view", vec![1, 8])], ReturnCode::NotRegistered)]
fn rejected_deregistration_removes_no_member(
    #[case] peer: u64,
    #[case] from_balancer: bool,
    #[case] groups: Vec<(&str, &str, Vec<u16>)>,
    #[case] code: ReturnCode,
) {
    let mut harness = Harness::new();
    let groups = groups
        .into_iter()
        .map(|(balancer, name, ports)| (group(balancer, name), ports.into_iter().map(member).collect()));
    let groups = groups.collect();
    let answer = harness.request(peer, Body::Deregister { from_balancer, reason: 0, groups });
    assert_eq!((answer, harness.advisor.member_count()), (Body::Deregistered(code), 2));
}

#[rstest]
#[case::already_registered(1, 1..2, ReturnCode::AlreadyRegistered)]
#[case::group_of_another_balancer(2, 5..6, ReturnCode::WillNotAccept)]
#[case::over_the_member_limit(1, 10..109, ReturnCode::TryLater)]
fn rejected_registration_adds_no_member(
    #[case] peer: u64,
    #[case] ports: std::ops::Range<u16>,
    #[case] code: ReturnCode,
) {
    let mut harness = Harness::new();
    let groups = vec![(group("lb", "view"), ports.map(member).collect())];
    let answer = harness.request(peer, Body::Register { from_balancer: true, groups });
    assert_eq!((answer, harness.advisor.member_count()), (Body::Registered(code), 2));
}

#[test]
fn reply_from_a_peer_closes_its_connection() {
    let mut harness = Harness::new();
    let message = Message { id: 1, body: Body::Registered(ReturnCode::Successful) };
    let answers = harness.advisor.handle_message(1, message, &|_, _| None, &mut harness.changes);
    assert!(matches!(answers[..], [Answer::Close(1, _)]));
}

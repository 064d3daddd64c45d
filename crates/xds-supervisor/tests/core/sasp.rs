//! Balancers and members that connect by SASP.

use shalereel_sasp::{Body, Frames, Group, LbFlags, Member, MemberState, Message, ReturnCode, WeightEntry};

use super::*;

/// Flags of a balancer that requests its weights instead of having them pushed.
const POLLING: LbFlags = LbFlags { push: false, trust: false, no_change: false };

fn member(server: u8) -> Member {
    let address = std::net::Ipv4Addr::new(127, 1, 0, server).to_ipv6_mapped();
    Member { protocol: 6, port: 80, address, label: b"b".to_vec() }
}

fn group(name: &str) -> Group {
    Group { balancer: b"lb".to_vec(), name: name.into() }
}

fn send(harness: &mut Harness, peer: Peer, body: Body) {
    harness.core.handle_sasp(harness.now, peer, &Message { id: 1, body }.encode());
}

/// Joins a balancer on `peer` that registers servers 1 to 5 for both operations.
fn register_balancer(harness: &mut Harness, peer: Peer, flags: LbFlags) {
    harness.core.sasp_opened(peer);
    send(harness, peer, Body::SetLbState { balancer: b"lb".to_vec(), health: 0, flags });
    let groups = ["view", "order"].map(|name| (group(name), (1..6).map(member).collect()));
    send(harness, peer, Body::Register { from_balancer: true, groups: groups.to_vec() });
}

fn bodies(harness: &mut Harness, peer: Peer) -> Vec<Body> {
    let mut frames = Frames::new(1 << 20);
    for (to, bytes) in std::mem::take(&mut harness.sasp_written) {
        assert_eq!(to, peer);
        frames.push(&bytes);
    }
    std::iter::from_fn(|| frames.take().unwrap().map(|message| message.body)).collect()
}

struct SaspWeight {
    server: u8,
    weight: u16,
    quiesced: bool,
}

/// The last received weights of one group.
fn weights(bodies: &[Body], name: &str) -> Option<Vec<SaspWeight>> {
    let groups = bodies.iter().rev().find_map(|body| match body {
        Body::SendWeights { groups } | Body::Weights { code: ReturnCode::Successful, groups, .. } => {
            Some(groups)
        }
        _ => None,
    })?;
    let entries: &Vec<WeightEntry> = &groups.iter().find(|one| one.0 == group(name))?.1;
    let server = |entry: &WeightEntry| entry.member.address.to_ipv4_mapped().unwrap().octets()[3];
    let weight = |entry: &WeightEntry| SaspWeight {
        server: server(entry),
        weight: entry.weight,
        quiesced: entry.quiesce,
    };
    Some(entries.iter().map(weight).collect())
}

/// The weights that a balancer and an xDS client receive for the same version differ only by rounding.
#[test]
fn xds_and_sasp_give_the_same_weights() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut client = harness.join_viewer(1, "f");
    register_balancer(&mut harness, 2, LbFlags { push: true, ..POLLING });
    for draining in [&[][..], &[3], &[3, 4], &[2]] {
        harness.list_draining(draining);
        harness.run_ms(1500);
        let update = harness.read_and_acknowledge(1, &mut client).pop().unwrap();
        let table = Assignment::decode(&update.resources[0]).unwrap();
        let sent = weights(&bodies(&mut harness, 2), "view").unwrap();
        let greatest = table.endpoints.iter().map(|row| row.weight).fold(0.0, f64::max);
        for SaspWeight { server, weight, quiesced } in sent {
            let row = table
                .endpoints
                .iter()
                .find(|row| row.address.ip().to_string() == format!("127.1.0.{server}"));
            let expected = row.map_or(0.0, |row| row.weight / greatest * 65535.0);
            assert!(
                (f64::from(weight) - expected).abs() <= 1.0 + expected / 5000.0,
                "{server}: {weight} and {expected}"
            );
            assert_eq!(quiesced, row.is_none());
            assert!(!draining.contains(&server.into()) || weight == 0);
        }
    }
    // Updates to a balancer count as acknowledged, so its connection is not closed as unresponsive.
    assert!(harness.closed.is_empty());
}

#[test]
fn polling_balancer_is_told_to_try_later_until_it_has_a_table() {
    let mut harness = Harness::new(None);
    register_balancer(&mut harness, 2, POLLING);
    let request = |harness: &mut Harness| send(harness, 2, Body::GetWeights { groups: vec![group("view")] });
    request(&mut harness);
    harness.run_ms(10);
    let first = bodies(&mut harness, 2);
    assert!(first.iter().any(|body| matches!(body, Body::Weights { code: ReturnCode::TryLater, .. })));
    harness.list_draining(&[]);
    harness.run_ms(1500);
    request(&mut harness);
    harness.run_ms(10);
    let received = bodies(&mut harness, 2);
    assert_eq!(
        weights(&received, "view").unwrap().iter().filter(|entry| entry.weight == 65535).count(),
        5,
        "{received:?}"
    );
}

#[test]
fn self_registered_member_is_served_until_it_quiesces_or_disconnects() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut client = harness.join_viewer(1, "f");
    register_balancer(&mut harness, 2, LbFlags { push: true, trust: true, ..POLLING });
    harness.run_ms(1500);
    harness.core.sasp_opened(3);
    let groups = vec![(group("view"), vec![member(77)])];
    send(&mut harness, 3, Body::Register { from_balancer: false, groups });
    let received = |harness: &mut Harness, client: &mut ClientStream| {
        // The member is in slow start at first, and in no table while nothing is known about the other servers.
        harness.run_ms(10_000);
        harness.sasp_written.clear();
        let update = harness.read_and_acknowledge(1, client).pop().unwrap();
        let rows = Assignment::decode(&update.resources[0]).unwrap().endpoints;
        let zone =
            rows.iter().find(|row| row.address.ip().to_string() == "127.1.0.77").map(|row| row.zone.clone());
        (rows.len(), zone)
    };
    // The member's label names a zone.
    assert_eq!(received(&mut harness, &mut client), (6, Some("b".to_owned())));
    let quiesce = |quiesce| {
        let member = MemberState { state: 0, contact: false, quiesce, member: member(77) };
        Body::SetMemberState { from_balancer: false, groups: vec![(group("view"), vec![member])] }
    };
    send(&mut harness, 3, quiesce(true));
    assert_eq!(received(&mut harness, &mut client), (5, None));
    send(&mut harness, 3, quiesce(false));
    assert_eq!(received(&mut harness, &mut client).0, 6);
    harness.core.stream_closed(3);
    assert_eq!(received(&mut harness, &mut client), (5, None));
}

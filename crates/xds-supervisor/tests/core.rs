//! A supervisor without sockets: streams as clients open them, lists as a registry says them.

use std::path::Path;

use rstest::rstest;
use shalereel_reactor::{Nanos, MILLI, SECOND};
use shalereel_rpc::{Code, Framer};
use shalereel_xds::*;
use shalereel_xds_supervisor::{Core, Deployment, Effect, Peer, LISTENER};

const FILE: &str = r#"
listen = "127.0.0.1:0"
registry = "127.0.0.1:1"
folder = "/nowhere"
supervisor = 0
supervisors = 1
locality = "a"
localities = ["a", "b"]
tick_ms = 1.0

[list]
membership = "pushed"
sizes = "nominal"

[forwarders]
count = 4
admission = "ignored"
report_cycle_ms = 1000.0
first_wait = 1.0

[channel]
lines_per_s = 1000.0
backlog = 2000.0
message_overhead = 10.0
mean_transit_ms = 10.0
worst_transit_ms = 100.0
paced = true

[rules]
empty_for_ms = 2000.0
drain_grace_ms = 2000.0
cold_from = 0.25
cold_for_ms = 8000.0
tip_multiple = 2.5
tip_after_ms = 2000.0

[[operation]]
name = "view"
effect = "idempotent"
latency_objective_ms = 1000.0
integration_timeout_ms = 3000.0
billed_value = 1.0

[[operation]]
name = "order"
effect = "side_effecting"
latency_objective_ms = 1000.0
integration_timeout_ms = 3000.0
billed_value = 5.0
"#;

/// A core with a clock, and what it said to each peer.
struct World {
    core: Core,
    now: Nanos,
    said: Vec<(Peer, Vec<u8>)>,
    written: Vec<(Peer, Vec<u8>)>,
    ended: Vec<(Peer, Code)>,
    sizes: Vec<f64>,
    /// Bodies of the tables' history.
    kept: Vec<bytes::Bytes>,
}

impl World {
    fn new(kept: Option<&[u8]>) -> Self {
        World::of(FILE, kept)
    }

    fn of(file: &str, kept: Option<&[u8]>) -> Self {
        let deployment = Deployment::parse(Path::new("file"), file).unwrap();
        let mut world = World {
            core: Core::new(deployment, SECOND, kept),
            now: SECOND,
            said: vec![],
            written: vec![],
            ended: vec![],
            sizes: vec![1.0; 5],
            kept: vec![],
        };
        world.run(1);
        world
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now += MILLI;
            for effect in self.core.turn(self.now, |_| false) {
                match effect {
                    Effect::Say { peer, message } => {
                        let mut framer = Framer::new(1 << 20);
                        framer.push(&message);
                        self.said.push((peer, framer.take().unwrap().unwrap().to_vec()));
                    }
                    Effect::Write { peer, bytes } => self.written.push((peer, bytes)),
                    Effect::History(writing) => {
                        if writing.replaces_file {
                            self.kept.clear();
                        }
                        self.kept.extend(writing.records);
                    }
                    Effect::End { peer, status } => self.ended.push((peer, status.code)),
                    _ => {}
                }
            }
        }
    }

    fn list(&mut self, draining: &[u32]) {
        self.list_sized(draining, &self.sizes.clone());
    }

    /// All are listed with other sizes from now on.
    fn resize(&mut self, sizes: &[f64]) {
        self.sizes = sizes.to_vec();
        self.list(&[]);
    }

    fn list_sized(&mut self, draining: &[u32], sizes: &[f64]) {
        let row = |server: u32| AssignedEndpoint {
            address: ([127, 1, 0, server as u8], 80).into(),
            zone: "a".into(),
            health: if draining.contains(&server) { Health::Draining } else { Health::Ready },
            weight: sizes[server as usize - 1],
            info: Some(ServerInfo { server, kind: 0, cell: 0, incarnation: 1, age: None }),
        };
        let list =
            Assignment { cluster: "fleet".into(), endpoints: (1..6).map(row).collect(), admitted: 1.0 };
        self.core.listed(self.now, &list);
    }

    fn open(&mut self, peer: Peer, id: &str, variant: Variant) -> ClientStream {
        self.core.opened(peer, variant);
        ClientStream::new(variant, NodeInfo { id: id.into(), zone: "a".into(), ..NodeInfo::default() })
    }

    /// Lets a client read all that was said to it and acknowledge it; gives the updates.
    fn read(&mut self, peer: Peer, client: &mut ClientStream) -> Vec<Update> {
        let (ours, rest) = std::mem::take(&mut self.said).into_iter().partition(|said| said.0 == peer);
        self.said = rest;
        let ours: Vec<(Peer, Vec<u8>)> = ours;
        ours.into_iter()
            .map(|(_, message)| {
                let update = client.handle(&message).unwrap();
                let answer = client.ack(&update);
                self.core.said(self.now, peer, &answer);
                update
            })
            .collect()
    }
}

fn ports(update: &Update) -> Vec<(String, usize, usize)> {
    let tables = update.resources.iter().map(|any| Assignment::decode(any).unwrap());
    let draining =
        |table: &Assignment| table.endpoints.iter().filter(|row| row.health == Health::Draining).count();
    tables.map(|table| (table.cluster.clone(), table.endpoints.len(), draining(&table))).collect()
}

/// From the listener to the endpoints by the book, with no word of what the specification does not know.
#[rstest]
#[case(Variant::StateOfTheWorld)]
#[case(Variant::Incremental)]
fn a_stock_client_joins_and_obeys(#[case] variant: Variant) {
    let mut world = World::new(None);
    world.list(&[]);
    let mut client = world.open(7, "stock", variant);
    let want = |world: &mut World, client: &mut ClientStream, url: &str, names: &[&str]| {
        let message = client.subscribe(url, names.iter().map(|name| name.to_string()));
        world.core.said(world.now, 7, &message);
        world.run(1500);
        world.read(7, client)
    };
    let listeners = want(&mut world, &mut client, types::LISTENER, &[LISTENER]);
    assert_eq!(listeners[0].resources.len(), 1);
    let found = want(&mut world, &mut client, types::ROUTES, &[LISTENER]);
    let ways = decode_retries(&found.last().unwrap().resources[0]).unwrap();
    assert_eq!(ways.iter().map(|way| way.0.as_str()).collect::<Vec<_>>(), ["view", "order"]);
    let clusters = want(&mut world, &mut client, types::CLUSTER, &["view", "order"]);
    assert_eq!(clusters[0].resources.len(), 2);
    let tables = want(&mut world, &mut client, types::ASSIGNMENT, &["view", "order"]);
    assert_eq!(ports(tables.last().unwrap()), [("view".into(), 5, 0), ("order".into(), 5, 0)]);
    // A drain leaves at once, not with the next ordinary batch.
    world.list(&[3]);
    world.run(200);
    let tables = world.read(7, &mut client);
    assert_eq!(ports(&tables[0]), [("view".into(), 4, 0), ("order".into(), 4, 0)]);
    assert!(world.ended.is_empty());
}

/// The decisions never tell of it: what the guard shuts goes by itself, with time left of the grace of 2 s, and not with
/// the next change of anything else, of which there is none.
#[test]
fn what_the_guard_shuts_is_told_within_the_grace() {
    let mut world = World::of(&format!("planted = \"drop_suspensions\"\n{FILE}"), None);
    world.list(&[]);
    let mut client = world.open(7, "stock", Variant::StateOfTheWorld);
    let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned()]);
    world.core.said(world.now, 7, &message);
    world.run(1500);
    assert_eq!(ports(world.read(7, &mut client).last().unwrap()), [("view".into(), 5, 0)]);
    world.list(&[3]);
    world.run(1200);
    let tables = world.read(7, &mut client);
    assert_eq!(tables.last().map(ports), Some(vec![("view".into(), 5, 1)]));
}

#[test]
fn a_channel_keeps_its_pace_and_a_newer_state_is_said_once() {
    let mut world = World::new(None);
    world.list(&[]);
    let mut clients: Vec<ClientStream> =
        (0..4).map(|at| world.open(at, &format!("f-{at}"), Variant::StateOfTheWorld)).collect();
    for (peer, client) in clients.iter_mut().enumerate() {
        let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned(), EXCLUDED.to_owned()]);
        world.core.said(world.now, peer as Peer, &message);
    }
    // Each is put on a table of five: 10 for its head, 1 + 5 lines + 2 levels, 1 for its mark: 19 ms at 1 a ms.
    world.run(18);
    assert_eq!(world.said.len(), 0);
    assert_eq!(world.core.backlog().1, 4.0 * 19.0);
    world.run(22);
    assert_eq!(world.said.len(), 2);
    world.run(60);
    assert_eq!((world.said.len(), world.core.backlog().1), (4, 0.0));
}

#[rstest]
#[case::unknown_zone(NodeInfo { id: "f".into(), zone: "z".into(), ..NodeInfo::default() }, Code::FailedPrecondition)]
#[case::nobody(NodeInfo { zone: "a".into(), ..NodeInfo::default() }, Code::InvalidArgument)]
fn a_node_that_does_not_fit_is_told_why(#[case] node: NodeInfo, #[case] code: Code) {
    let mut world = World::new(None);
    world.core.opened(1, Variant::StateOfTheWorld);
    let message =
        ClientStream::new(Variant::StateOfTheWorld, node).subscribe(types::ASSIGNMENT, ["view".to_owned()]);
    world.core.said(world.now, 1, &message);
    world.run(1);
    assert_eq!(world.ended, [(1, code)]);
    assert_eq!(world.core.joined(), 0);
}

#[test]
fn a_node_that_comes_again_replaces_its_older_stream() {
    let mut world = World::new(None);
    for peer in [1, 2] {
        let mut client = world.open(peer, "same", Variant::StateOfTheWorld);
        let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned()]);
        world.core.said(world.now, peer, &message);
        world.run(1);
    }
    assert_eq!((world.ended.clone(), world.core.joined()), (vec![(1, Code::Cancelled)], 1));
    // The end of the older one is no end of the node.
    world.core.ended(1);
    assert_eq!(world.core.joined(), 1);
}

#[test]
fn what_is_turned_down_is_said_again_and_the_third_time_ends_the_stream() {
    let mut world = World::new(None);
    world.list(&[]);
    let mut client = world.open(1, "f", Variant::StateOfTheWorld);
    let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned()]);
    world.core.said(world.now, 1, &message);
    for _ in 0..3 {
        while world.said.is_empty() {
            world.run(1);
        }
        let (_, message) = world.said.remove(0);
        let update = client.handle(&message).unwrap();
        assert_eq!(ports(&update), [("view".into(), 5, 0)], "the whole table each time");
        let no = client.nack(&update, "not like this".into());
        world.core.said(world.now, 1, &no);
    }
    world.run(1);
    assert_eq!(world.ended, [(1, Code::FailedPrecondition)]);
}

#[test]
fn who_answers_nothing_is_parted_with_and_holds_up_nobody() {
    let mut world = World::new(None);
    world.list(&[]);
    for peer in [1, 2] {
        let mut client = world.open(peer, &format!("f-{peer}"), Variant::StateOfTheWorld);
        let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned()]);
        world.core.said(world.now, peer, &message);
        world.run(100);
        if peer == 2 {
            assert_eq!(world.read(peer, &mut client).len(), 1);
        }
    }
    // Four times a round of 1.2 s and the 2 s in which a full channel empties.
    world.run(12_000);
    assert!(world.ended.is_empty());
    world.run(2_500);
    assert_eq!((world.ended.clone(), world.core.joined()), (vec![(1, Code::DeadlineExceeded)], 1));
}

#[test]
fn a_restart_lives_by_the_kept_list_and_by_nothing_else() {
    let mut world = World::new(None);
    world.list(&[2]);
    let kept = world.core.remember();
    for (kept, rows) in [(&kept[..], 4), (&b"{half a li"[..], 0)] {
        let mut world = World::new(Some(kept));
        let mut client = world.open(1, "f", Variant::StateOfTheWorld);
        let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned()]);
        world.core.said(world.now, 1, &message);
        world.run(500);
        let held = world.read(1, &mut client).last().map_or(0, |update| ports(update)[0].1);
        assert_eq!(held, rows);
    }
}

#[rstest]
#[case::not_loopback(
    "listen = \"127.0.0.1:0\"",
    "listen = \"0.0.0.0:1\"",
    "file:2: listen: 0.0.0.0:1 is not a loopback"
)]
#[case::unknown_key("seed", "sede", "unknown field `sede`")]
#[case::out_of_range(
    "cold_from = 0.25",
    "cold_from = 25.0",
    "file:33: rules.cold_from: 25 is out of range; give a number"
)]
#[case::no_such_locality("locality = \"a\"", "locality = \"c\"", "file:8: locality:")]
#[case::history(
    "[list]",
    "[tables]\nhours = 0.0\n\n[list]",
    "file:13: tables.hours: 0 is out of range; give a number from 0.01"
)]
#[case::operators_off_loopback(
    "[list]",
    "[admin]\nlisten = \"10.0.0.1:1\"\n\n[list]",
    "file:13: admin.listen: 10.0.0.1:1 is not a loopback"
)]
#[case::missing("paced = true", "", "missing field `paced`")]
#[case::rate("admission = \"ignored\"", "admission = \"rate\"", "unknown variant `rate`")]
#[case::timeout_before_objective(
    "integration_timeout_ms = 3000.0",
    "integration_timeout_ms = 3.0",
    "operation.integration_timeout_ms: 3 is out of range; give a number from 1000"
)]
fn a_bad_file_is_refused_with_line_key_and_remedy(#[case] from: &str, #[case] to: &str, #[case] said: &str) {
    let text = FILE.replace("supervisors = 1", "supervisors = 1\nseed = 3").replacen(from, to, 1);
    let error = Deployment::parse(Path::new("file"), &text).unwrap_err().to_string();
    assert!(error.contains(said), "{error}");
}

/// A client's word about a server that never was counts neither as a try nor as demand.
#[test]
fn load_of_a_server_that_never_was_is_no_demand() {
    use shalereel::interface::Event;
    let mut roster = shalereel_xds_supervisor::Roster::new(&["a".to_owned()]);
    let row = AssignedEndpoint {
        address: ([127, 1, 0, 1], 80).into(),
        zone: "a".into(),
        health: Health::Ready,
        weight: 1.0,
        info: Some(ServerInfo { server: 4, kind: 0, cell: 0, incarnation: 1, age: None }),
    };
    let list = |rows| Assignment { cluster: "fleet".into(), endpoints: rows, admitted: 1.0 };
    roster.hear(SECOND, &list(vec![row]), &mut vec![]);
    // Gone by now: what is told of it still counts, since tries were under way.
    roster.hear(SECOND, &list(vec![]), &mut vec![]);
    let load = |last: u8, errored| EndpointLoad {
        address: ([127, 1, 0, last], 80).into(),
        zone: "a".into(),
        successes: 3,
        failures: errored,
        timed_responses: 3,
        response_time_sum: 60 * MILLI,
        metrics: Default::default(),
    };
    let endpoints = vec![load(1, 1), load(9, 5000)];
    let cluster = ClusterLoad {
        cluster: "view".into(),
        interval: SECOND,
        issued: 5007,
        failures: 5001,
        dropped: 2,
        endpoints,
    };
    let mut reports = shalereel_xds_supervisor::Reports::default();
    reports.add(1, 0, &LoadReport { node: None, clusters: vec![cluster] }, &["view".to_owned()], &roster);
    let events = reports.take();
    assert!(
        matches!(&events[0], Event::EndpointReport(digest) if digest.server == 4 && (digest.attempts, digest.failures) == (4, 1))
    );
    assert!(matches!(&events[0], Event::EndpointReport(digest) if digest.response_time == 20 * MILLI));
    assert!(matches!(events[1], Event::DemandReport { total: 6, failures: 1, .. }), "{events:?}");
    assert_eq!((events.len(), reports.strangers, reports.take().len()), (2, 1, 0));
}

mod second_front {
    use super::*;
    use shalereel_sasp::{
        Body, Frames, Group, LbFlags, Member, MemberState, Message, ReturnCode, WeightEntry,
    };

    fn member(server: u8) -> Member {
        let address = std::net::Ipv4Addr::new(127, 1, 0, server).to_ipv6_mapped();
        Member { protocol: 6, port: 80, address, label: b"b".to_vec() }
    }

    fn group(name: &str) -> Group {
        Group { balancer: b"lb".to_vec(), name: name.into() }
    }

    fn tell(world: &mut World, peer: Peer, body: Body) {
        world.core.advice_heard(world.now, peer, &Message { id: 1, body }.encode());
    }

    /// A balancer on `peer` that has registered servers 1 to 5 for both operations.
    fn balancer(world: &mut World, peer: Peer, push: bool, trust: bool) {
        world.core.advised(peer);
        let flags = LbFlags { push, trust, no_change: false };
        tell(world, peer, Body::SetLbState { balancer: b"lb".to_vec(), health: 0, flags });
        let groups = ["view", "order"].map(|name| (group(name), (1..6).map(member).collect()));
        tell(world, peer, Body::Register { from_balancer: true, groups: groups.to_vec() });
    }

    fn bodies(world: &mut World, peer: Peer) -> Vec<Body> {
        let mut frames = Frames::new(1 << 20);
        for (to, bytes) in std::mem::take(&mut world.written) {
            assert_eq!(to, peer);
            frames.push(&bytes);
        }
        std::iter::from_fn(|| frames.take().unwrap().map(|message| message.body)).collect()
    }

    /// What the last weights say of one group: by server.
    fn weights(bodies: &[Body], name: &str) -> Option<Vec<(u8, u16, bool)>> {
        let groups = bodies.iter().rev().find_map(|body| match body {
            Body::SendWeights { groups } | Body::Weights { code: ReturnCode::Successful, groups, .. } => {
                Some(groups)
            }
            _ => None,
        })?;
        let entries: &Vec<WeightEntry> = &groups.iter().find(|one| one.0 == group(name))?.1;
        let server = |entry: &WeightEntry| entry.member.address.to_ipv4_mapped().unwrap().octets()[3];
        Some(entries.iter().map(|entry| (server(entry), entry.weight, entry.quiesce)).collect())
    }

    /// At every version, what either front says differs by rounding alone.
    #[test]
    fn both_fronts_say_the_same() {
        let mut world = World::new(None);
        world.list(&[]);
        let mut client = world.open(1, "f", Variant::StateOfTheWorld);
        let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned()]);
        world.core.said(world.now, 1, &message);
        balancer(&mut world, 2, true, false);
        for draining in [&[][..], &[3], &[3, 4], &[2]] {
            world.list(draining);
            world.run(1500);
            let update = world.read(1, &mut client).pop().unwrap();
            let table = Assignment::decode(&update.resources[0]).unwrap();
            let said = weights(&bodies(&mut world, 2), "view").unwrap();
            let most = table.endpoints.iter().map(|row| row.weight).fold(0.0, f64::max);
            for (server, weight, quiesce) in said {
                let row = table
                    .endpoints
                    .iter()
                    .find(|row| row.address.ip().to_string() == format!("127.1.0.{server}"));
                let told = row.map_or(0.0, |row| row.weight / most * 65535.0);
                assert!(
                    (f64::from(weight) - told).abs() <= 1.0 + told / 5000.0,
                    "{server}: {weight} and {told}"
                );
                assert_eq!(quiesce, row.is_none());
                assert!(!draining.contains(&server.into()) || weight == 0);
            }
        }
        // What goes to a balancer is confirmed: nothing waits for it.
        assert!(world.ended.is_empty());
    }

    #[test]
    fn a_balancer_that_asks_is_told_to_wait_until_it_is_on_a_table() {
        let mut world = World::new(None);
        balancer(&mut world, 2, false, false);
        let ask = |world: &mut World| tell(world, 2, Body::GetWeights { groups: vec![group("view")] });
        ask(&mut world);
        world.run(10);
        let first = bodies(&mut world, 2);
        assert!(first.iter().any(|body| matches!(body, Body::Weights { code: ReturnCode::TryLater, .. })));
        world.list(&[]);
        world.run(1500);
        ask(&mut world);
        world.run(10);
        let got = bodies(&mut world, 2);
        assert_eq!(
            weights(&got, "view").unwrap().iter().filter(|entry| entry.1 == 65535).count(),
            5,
            "{got:?}"
        );
    }

    #[test]
    fn members_that_list_themselves_are_served_and_drain_by_their_own_word() {
        let mut world = World::new(None);
        world.list(&[]);
        let mut client = world.open(1, "f", Variant::StateOfTheWorld);
        let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned()]);
        world.core.said(world.now, 1, &message);
        balancer(&mut world, 2, true, true);
        world.run(1500);
        world.core.advised(3);
        let groups = vec![(group("view"), vec![member(77)])];
        tell(&mut world, 3, Body::Register { from_balancer: false, groups });
        let held = |world: &mut World, client: &mut ClientStream| {
            // It is cold at first, and waits outside as long as nothing is known of the others.
            world.run(10_000);
            world.written.clear();
            let update = world.read(1, client).pop().unwrap();
            let rows = Assignment::decode(&update.resources[0]).unwrap().endpoints;
            let zone = rows
                .iter()
                .find(|row| row.address.ip().to_string() == "127.1.0.77")
                .map(|row| row.zone.clone());
            (rows.len(), zone)
        };
        // Its label is a zone.
        assert_eq!(held(&mut world, &mut client), (6, Some("b".to_owned())));
        let quiesce = |quiesce| {
            let member = MemberState { state: 0, contact: false, quiesce, member: member(77) };
            Body::SetMemberState { from_balancer: false, groups: vec![(group("view"), vec![member])] }
        };
        tell(&mut world, 3, quiesce(true));
        assert_eq!(held(&mut world, &mut client), (5, None));
        tell(&mut world, 3, quiesce(false));
        assert_eq!(held(&mut world, &mut client).0, 6);
        world.core.ended(3);
        assert_eq!(held(&mut world, &mut client), (5, None));
    }
}

/// A client that takes tables line by line: what it holds, and the versions it knows.
mod lines {
    use super::*;
    use shalereel_store::{Check, Delta, DeltaOutcome, Line, Replica, ResyncBackoff};

    struct Client {
        list: ClientStream,
        follower: Replica,
        peer: Peer,
        /// Deltas read so far: from which version, and how many lines.
        read: Vec<(u64, usize)>,
        asked: bool,
    }

    impl Client {
        fn join(world: &mut World, peer: Peer, id: &str) -> Self {
            world.core.opened(peer, Variant::Incremental);
            let node =
                NodeInfo { id: id.into(), zone: "a".into(), supports_lines: true, ..NodeInfo::default() };
            let mut list = ClientStream::new(Variant::Incremental, node);
            let message = list.subscribe(types::ASSIGNMENT, ["view".to_owned(), "order".to_owned()]);
            world.core.said(world.now, peer, &message);
            Client {
                list,
                follower: Replica::new(ResyncBackoff::new(10 * MILLI, peer)),
                peer,
                read: vec![],
                asked: false,
            }
        }

        fn reopen(&mut self, world: &mut World, peer: Peer) {
            self.peer = peer;
            world.core.opened(peer, Variant::Incremental);
            let held = self.follower.verified().map(|check| (leds::collection(0), check.to_string()));
            self.list.set_resource_versions(types::LINE, held.into_iter().collect());
            self.follower.stream_reopened();
            for message in self.list.reopen() {
                world.core.said(world.now, peer, &message);
            }
        }

        /// Runs, reads all that came, and confirms it unless `deaf`.
        fn run(&mut self, world: &mut World, ms: u64, deaf: bool) {
            for _ in 0..ms {
                world.run(1);
                let (ours, rest) =
                    std::mem::take(&mut world.said).into_iter().partition(|said| said.0 == self.peer);
                world.said = rest;
                let ours: Vec<(Peer, Vec<u8>)> = ours;
                for (_, message) in ours {
                    let update = self.list.handle(&message).unwrap();
                    if update.type_url == types::ASSIGNMENT {
                        let named = leds::collection_of(&update.resources[0]).unwrap().unwrap();
                        assert_eq!(named, leds::collection(0));
                        let answer = self.list.ack(&update);
                        world.core.said(world.now, self.peer, &answer);
                        // Later streams ask for it as they are opened.
                        if !std::mem::replace(&mut self.asked, true) {
                            let ask = self.list.resubscribe(types::LINE, [(named, None)].into());
                            world.core.said(world.now, self.peer, &ask);
                        }
                        continue;
                    }
                    let (from, check) = update.version.split_once('>').unwrap();
                    let line = |(name, any): (&String, &Any)| {
                        let line = leds::decode_line(any).unwrap();
                        let (address, weight, draining) = (line.address, line.weight, line.draining);
                        (leds::line_of(name).unwrap().1, Line { address, weight, draining, incarnation: 0 })
                    };
                    let delta = Delta {
                        check: Check::parse(check).unwrap(),
                        base: from.parse().unwrap(),
                        changed: update.names.iter().zip(&update.resources).map(line).collect(),
                        removed: update.removed.iter().map(|name| leds::line_of(name).unwrap().1).collect(),
                    };
                    self.read.push((delta.base, delta.line_count()));
                    if !deaf {
                        assert_eq!(self.follower.receive(world.now, &delta), DeltaOutcome::Applied);
                        let answer = self.list.ack(&update);
                        world.core.said(world.now, self.peer, &answer);
                    }
                }
            }
        }

        fn servers(&self) -> Vec<u32> {
            self.follower.usable_lines().map(|(server, _)| server).collect()
        }
    }

    #[test]
    fn a_drain_is_one_line_for_all_operations_and_a_rejoin_next_to_nothing() {
        let mut world = World::new(None);
        world.list(&[]);
        let mut client = Client::join(&mut world, 1, "f");
        client.run(&mut world, 200, false);
        assert_eq!((client.servers(), client.read.clone()), (vec![1, 2, 3, 4, 5], vec![(0, 5)]));
        let first = client.follower.verified().unwrap().number;
        world.list(&[3]);
        client.run(&mut world, 100, false);
        assert_eq!((client.servers(), client.read[1]), (vec![1, 2, 4, 5], (first, 1)));
        // The stream breaks; what changed meanwhile is all that it is told.
        world.core.ended(1);
        world.list(&[3, 4]);
        world.run(100);
        client.reopen(&mut world, 2);
        client.run(&mut world, 100, false);
        assert_eq!((client.servers(), client.read[2].1, client.read.len()), (vec![1, 2, 5], 1, 3));
        world.core.ended(2);
        client.reopen(&mut world, 3);
        client.run(&mut world, 100, false);
        assert_eq!((client.read[3].1, client.read.len()), (0, 4));
        // One that comes with what nobody knows gets the whole.
        world.core.ended(3);
        client.follower = Replica::new(ResyncBackoff::new(MILLI, 1));
        client.reopen(&mut world, 4);
        client.run(&mut world, 100, false);
        assert_eq!(client.read[4], (0, 3));
        assert!(world.ended.is_empty());
    }

    #[test]
    fn what_nobody_confirms_is_said_again_from_what_was_confirmed() {
        let mut world = World::new(None);
        world.list(&[]);
        let mut client = Client::join(&mut world, 1, "f");
        client.run(&mut world, 200, false);
        let held = client.follower.verified().unwrap().number;
        world.list(&[3]);
        client.run(&mut world, 100, true);
        world.list(&[3, 4]);
        client.run(&mut world, 100, true);
        assert_eq!(client.read[1], (held, 1));
        // A quarter of a cycle and its travel later, all at once, until it is confirmed.
        client.read.clear();
        client.run(&mut world, 600, true);
        assert!(
            client.read.len() >= 2 && client.read.iter().all(|read| *read == (held, 2)),
            "{:?}",
            client.read
        );
        client.run(&mut world, 300, false);
        assert_eq!(client.servers(), [1, 2, 5]);
        client.read.clear();
        client.run(&mut world, 2000, false);
        assert_eq!(client.read, []);
        assert!(world.core.backlog().0 < 200.0, "{:?}", world.core.backlog());
    }

    #[test]
    fn a_restart_with_its_history_tells_only_what_differs() {
        let mut world = World::new(None);
        world.list(&[]);
        let mut client = Client::join(&mut world, 1, "f");
        client.run(&mut world, 200, false);
        let file: Vec<u8> = shalereel_store::MAGIC
            .iter()
            .copied()
            .chain(world.kept.iter().flat_map(|body| shalereel_journal::frame(body)))
            .collect();
        let (list, held) = (world.core.remember(), client.follower.verified().unwrap().number);
        let mut world = World::new(Some(&list));
        world.core.recall(0, Some(&file)).unwrap();
        client.read.clear();
        world.list(&[2]);
        client.reopen(&mut world, 1);
        client.run(&mut world, 200, false);
        assert_eq!((client.servers(), client.read.clone()), (vec![1, 3, 4, 5], vec![(held, 1)]));
        // A file that is damaged is not used, and nothing stops.
        let mut damaged = file.clone();
        damaged[12] ^= 1;
        let mut world = World::new(Some(&list));
        assert!(world.core.recall(0, Some(&damaged)).is_err());
        client.reopen(&mut world, 1);
        client.run(&mut world, 200, false);
        assert_eq!(client.servers(), [1, 2, 3, 4, 5]);
    }
}

mod operators {
    use super::*;
    use prost::Message as _;
    use shalereel_xds_supervisor::admin::*;

    fn ask(world: &mut World, question: AdminQuery) -> Result<serde_json::Value, String> {
        let message = AdminRequest { query: Some(question) }.encode_to_vec();
        let answer = world.core.admin(world.now, &message).map_err(|status| status.text)?;
        Ok(serde_json::from_str(&AdminResponse::decode(&answer[..]).unwrap().json).unwrap())
    }

    fn back(version: u64, for_ms: u64, dry_run: bool) -> AdminQuery {
        AdminQuery::StartRollback(StartRollback {
            version,
            duration_ms: for_ms,
            dry_run,
            actor: "night".into(),
            reason: "a test".into(),
        })
    }

    #[test]
    fn what_stood_is_listed_shown_and_compared() {
        let mut world = World::new(None);
        world.list(&[]);
        world.run(100);
        world.list(&[3]);
        world.run(100);
        let told = ask(&mut world, AdminQuery::List(ListVersions { last: 10 })).unwrap();
        assert_eq!((told["kept"].as_u64(), told["versions"][0]["lines"].as_u64()), (Some(2), Some(4)));
        let (old, new) = (&told["versions"][1]["version"], &told["versions"][0]["version"]);
        let (from, to) = (old.as_u64().unwrap(), new.as_u64().unwrap());
        let told = ask(&mut world, AdminQuery::Diff(DiffVersions { from, to })).unwrap();
        assert_eq!(
            (told["lines"][0]["server"].as_u64(), told["lines"].as_array().unwrap().len()),
            (Some(3), 1)
        );
        let told = ask(&mut world, AdminQuery::Show(ShowVersion { version: from })).unwrap();
        assert_eq!(told["lines"].as_array().unwrap().len(), 5);
        // What drained since stays out; the others have their weights already.
        let told = ask(&mut world, back(from, 1000, true)).unwrap();
        assert_eq!((told["takes"].as_u64(), told["moves"].as_array().unwrap().len()), (Some(4), 0));
        assert_eq!(told["stays"][0]["server"], 3);
        assert!(ask(&mut world, back(to, 1000, false)).unwrap_err().contains("nothing to go back to"));
        assert!(ask(&mut world, back(999, 1000, false)).unwrap_err().contains("not kept"));
        assert!(ask(&mut world, back(from, 0, false)).unwrap_err().contains("must end"));
        assert!(world.core.admin(world.now, b"\xff\xff").is_err());
    }

    #[test]
    fn a_hold_ends_by_itself_and_is_bounded() {
        let mut world = World::new(None);
        world.list(&[]);
        world.run(100);
        let hold = |part, for_ms| {
            AdminQuery::CapServer(CapServer {
                server: 2,
                factor: part,
                duration_ms: for_ms,
                actor: "night".into(),
                reason: "hot".into(),
            })
        };
        let weight = |world: &mut World| {
            let told = ask(world, AdminQuery::Show(ShowVersion { version: 0 })).unwrap();
            told["lines"][1]["line"]["weight"].as_f64().unwrap()
        };
        ask(&mut world, hold(0.5, 1000)).unwrap();
        world.run(100);
        assert_eq!(weight(&mut world), 0.5);
        assert_eq!(
            ask(&mut world, AdminQuery::List(ListVersions { last: 1 })).unwrap()["holds"][0]["server"],
            2
        );
        world.run(1100);
        assert_eq!(weight(&mut world), 1.0);
        ask(&mut world, hold(0.25, 60_000)).unwrap();
        world.run(100);
        ask(&mut world, hold(0.0, 0)).unwrap();
        world.run(100);
        assert_eq!(weight(&mut world), 1.0);
        assert!(ask(&mut world, hold(0.0, 5)).unwrap_err().contains("no part"));
        let nobody = CapServer { server: 99, factor: 0.5, duration_ms: 5, ..CapServer::default() };
        assert!(ask(&mut world, AdminQuery::CapServer(nobody))
            .unwrap_err()
            .contains("no table has server 99"));
    }

    /// Five servers, one of which the module has come to give less; a way back that waits its turn in the channel, is
    /// kept by a drain, and ends by itself.
    #[test]
    fn a_way_back_goes_and_ends_and_what_drains_meanwhile_leaves_it() {
        let mut world = World::new(None);
        world.list(&[]);
        let mut client = world.open(1, "f", Variant::StateOfTheWorld);
        let message = client.subscribe(types::ASSIGNMENT, ["view".to_owned()]);
        world.core.said(world.now, 1, &message);
        let weights = |world: &mut World, client: &mut ClientStream| {
            let update = world.read(1, client).pop()?;
            let table = Assignment::decode(&update.resources[0]).unwrap();
            let row = |row: &AssignedEndpoint| (row.address.to_string(), (row.weight * 100.0).round() as u32);
            Some(table.endpoints.iter().map(row).collect::<std::collections::BTreeMap<String, u32>>())
        };
        world.run(500);
        assert_eq!(weights(&mut world, &mut client).unwrap().values().sum::<u32>(), 500);
        let told = ask(&mut world, AdminQuery::List(ListVersions { last: 1 })).unwrap();
        let from = told["versions"][0]["version"].as_u64().unwrap();
        world.resize(&[1.5, 1.0, 0.75, 1.0, 1.0]);
        world.run(2000);
        let resized = weights(&mut world, &mut client).unwrap();
        assert_eq!(resized["127.1.0.1:80"], 150);
        let told = ask(&mut world, back(from, 3000, false)).unwrap();
        assert_eq!((told["takes"].as_u64(), told["moves"].as_array().unwrap().len()), (Some(5), 5));
        world.run(500);
        let back_then = weights(&mut world, &mut client).unwrap();
        assert!(back_then.values().all(|weight| *weight == 105), "{back_then:?}");
        let told = ask(&mut world, AdminQuery::List(ListVersions { last: 1 })).unwrap();
        assert_eq!(
            (told["versions"][0]["who"].as_str(), told["ways"][0]["lines_to_move"].as_u64()),
            (Some("night"), Some(0))
        );
        // A drain stands above it.
        world.list(&[2]);
        world.run(500);
        let drained = weights(&mut world, &mut client).unwrap();
        assert!(drained.len() == 4 && !drained.contains_key("127.1.0.2:80"), "{drained:?}");
        world.run(3000);
        let over = weights(&mut world, &mut client).unwrap();
        assert_eq!((over["127.1.0.3:80"], over.len()), (75, 4));
        let told = ask(&mut world, AdminQuery::List(ListVersions { last: 1 })).unwrap();
        assert!(told["ways"].as_array().unwrap().is_empty());
        assert!(world.core.backlog().0 < 200.0);
    }
}

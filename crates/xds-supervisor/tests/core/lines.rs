//! Clients that receive tables as collections of lines.

use shalereel_store::{Check, Delta, DeltaOutcome, Line, Replica, ResyncBackoff};

use super::*;

/// Reaction of a client to deltas.
#[derive(Clone, Copy, PartialEq)]
enum DeltaHandling {
    ApplyAndAcknowledge,
    Ignore,
}

/// A client that receives tables as collections of lines: its stream, and its replica of table 0.
struct Client {
    stream: ClientStream,
    replica: Replica,
    peer: Peer,
    /// Base version and number of lines of each received delta.
    received: Vec<(u64, usize)>,
    /// The client has subscribed to the collection.
    subscribed: bool,
}

impl Client {
    fn join(harness: &mut Harness, peer: Peer, id: &str) -> Self {
        harness.core.stream_opened(peer, Variant::Incremental);
        let node = NodeInfo { id: id.into(), zone: "a".into(), supports_lines: true, ..NodeInfo::default() };
        let mut stream = ClientStream::new(Variant::Incremental, node);
        let message = stream.subscribe(types::ASSIGNMENT, ["view".to_owned(), "order".to_owned()]);
        harness.core.handle_message(harness.now, peer, &message);
        Client {
            stream,
            replica: Replica::new(ResyncBackoff::new(10 * MILLI, peer)),
            peer,
            received: vec![],
            subscribed: false,
        }
    }

    /// Reconnects with a new stream that reports the held version.
    fn reopen(&mut self, harness: &mut Harness, peer: Peer) {
        self.peer = peer;
        harness.core.stream_opened(peer, Variant::Incremental);
        let held = self.replica.verified().map(|check| (leds::collection(0), check.to_string()));
        self.stream.set_resource_versions(types::LINE, held.into_iter().collect());
        self.replica.stream_reopened();
        for message in self.stream.reopen() {
            harness.core.handle_message(harness.now, peer, &message);
        }
    }

    /// Runs the core, and applies and acknowledges all received deltas.
    fn run_ms(&mut self, harness: &mut Harness, ms: u64) {
        self.run(harness, ms, DeltaHandling::ApplyAndAcknowledge);
    }

    /// Runs the core, and neither applies nor acknowledges deltas.
    fn run_ms_unresponsive(&mut self, harness: &mut Harness, ms: u64) {
        self.run(harness, ms, DeltaHandling::Ignore);
    }

    fn run(&mut self, harness: &mut Harness, ms: u64, delta_handling: DeltaHandling) {
        for _ in 0..ms {
            harness.run_ms(1);
            for message in harness.take_sent(self.peer) {
                let update = self.stream.handle(&message).unwrap();
                if update.type_url == types::ASSIGNMENT {
                    let named = leds::collection_of(&update.resources[0]).unwrap().unwrap();
                    assert_eq!(named, leds::collection(0));
                    let answer = self.stream.ack(&update);
                    harness.core.handle_message(harness.now, self.peer, &answer);
                    // Reopened streams repeat this subscription by themselves.
                    if !std::mem::replace(&mut self.subscribed, true) {
                        let request = self.stream.resubscribe(types::LINE, [(named, None)].into());
                        harness.core.handle_message(harness.now, self.peer, &request);
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
                self.received.push((delta.base, delta.line_count()));
                if delta_handling == DeltaHandling::ApplyAndAcknowledge {
                    assert_eq!(self.replica.receive(harness.now, &delta), DeltaOutcome::Applied);
                    let answer = self.stream.ack(&update);
                    harness.core.handle_message(harness.now, self.peer, &answer);
                }
            }
        }
    }

    fn servers(&self) -> Vec<u32> {
        self.replica.usable_lines().map(|(server, _)| server).collect()
    }
}

#[test]
fn drain_is_one_line_for_all_operations_and_rejoin_sends_only_differing_lines() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut client = Client::join(&mut harness, 1, "f");
    client.run_ms(&mut harness, 200);
    assert_eq!((client.servers(), client.received.clone()), (vec![1, 2, 3, 4, 5], vec![(0, 5)]));
    let first = client.replica.verified().unwrap().number;
    harness.list_draining(&[3]);
    client.run_ms(&mut harness, 100);
    assert_eq!((client.servers(), client.received[1]), (vec![1, 2, 4, 5], (first, 1)));
    // After a reconnect, only the lines that have changed meanwhile are sent.
    harness.core.stream_closed(1);
    harness.list_draining(&[3, 4]);
    harness.run_ms(100);
    client.reopen(&mut harness, 2);
    client.run_ms(&mut harness, 100);
    assert_eq!((client.servers(), client.received[2].1, client.received.len()), (vec![1, 2, 5], 1, 3));
    harness.core.stream_closed(2);
    client.reopen(&mut harness, 3);
    client.run_ms(&mut harness, 100);
    assert_eq!((client.received[3].1, client.received.len()), (0, 4));
    // A client that reports no known version is sent the full table.
    harness.core.stream_closed(3);
    client.replica = Replica::new(ResyncBackoff::new(MILLI, 1));
    client.reopen(&mut harness, 4);
    client.run_ms(&mut harness, 100);
    assert_eq!(client.received[4], (0, 3));
    assert!(harness.closed.is_empty());
}

#[test]
fn unacknowledged_lines_are_sent_again_from_the_acknowledged_version() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut client = Client::join(&mut harness, 1, "f");
    client.run_ms(&mut harness, 200);
    let held = client.replica.verified().unwrap().number;
    harness.list_draining(&[3]);
    client.run_ms_unresponsive(&mut harness, 100);
    harness.list_draining(&[3, 4]);
    client.run_ms_unresponsive(&mut harness, 100);
    assert_eq!(client.received[1], (held, 1));
    // Both changes are sent again together, after a quarter of a report interval and the transit time each, until they
    // are acknowledged.
    client.received.clear();
    client.run_ms_unresponsive(&mut harness, 600);
    assert!(
        client.received.len() >= 2 && client.received.iter().all(|delta| *delta == (held, 2)),
        "{:?}",
        client.received
    );
    client.run_ms(&mut harness, 300);
    assert_eq!(client.servers(), [1, 2, 5]);
    client.received.clear();
    client.run_ms(&mut harness, 2000);
    assert_eq!(client.received, []);
    assert!(harness.core.backlog().peak_lines < 200.0, "{:?}", harness.core.backlog());
}

#[test]
fn restart_with_stored_history_sends_only_differing_lines() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut client = Client::join(&mut harness, 1, "f");
    client.run_ms(&mut harness, 200);
    let file: Vec<u8> = shalereel_store::MAGIC
        .iter()
        .copied()
        .chain(harness.history.iter().flat_map(|body| shalereel_journal::frame(body)))
        .collect();
    let (list, held) = (harness.core.endpoint_list_json(), client.replica.verified().unwrap().number);
    let mut harness = Harness::new(Some(&list));
    harness.core.load_tables(Some(&file)).unwrap();
    client.received.clear();
    harness.list_draining(&[2]);
    client.reopen(&mut harness, 1);
    client.run_ms(&mut harness, 200);
    assert_eq!((client.servers(), client.received.clone()), (vec![1, 3, 4, 5], vec![(held, 1)]));
    // A damaged file is not used, and the supervisor keeps serving.
    let mut damaged = file.clone();
    damaged[12] ^= 1;
    let mut harness = Harness::new(Some(&list));
    assert!(harness.core.load_tables(Some(&damaged)).is_err());
    client.reopen(&mut harness, 1);
    client.run_ms(&mut harness, 200);
    assert_eq!(client.servers(), [1, 2, 3, 4, 5]);
}

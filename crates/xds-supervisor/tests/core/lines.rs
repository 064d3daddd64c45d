//! Clients that take tables line by line.

use shalereel_store::{Check, Delta, DeltaOutcome, Line, Replica, ResyncBackoff};

use super::*;

/// What a client does with deltas.
#[derive(Clone, Copy, PartialEq)]
enum Received {
    AppliedAndAcknowledged,
    Ignored,
}

/// A client that takes tables line by line: what it holds, and the versions it knows.
struct Client {
    stream: ClientStream,
    replica: Replica,
    peer: Peer,
    /// Deltas received so far: base version and number of lines.
    received: Vec<(u64, usize)>,
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

    /// Runs, applies all that is received, and acknowledges it.
    fn run_ms(&mut self, harness: &mut Harness, ms: u64) {
        self.run(harness, ms, Received::AppliedAndAcknowledged);
    }

    /// Runs and acknowledges no delta.
    fn run_ms_unresponsive(&mut self, harness: &mut Harness, ms: u64) {
        self.run(harness, ms, Received::Ignored);
    }

    fn run(&mut self, harness: &mut Harness, ms: u64, received: Received) {
        for _ in 0..ms {
            harness.run_ms(1);
            for message in harness.take_sent(self.peer) {
                let update = self.stream.handle(&message).unwrap();
                if update.type_url == types::ASSIGNMENT {
                    let named = leds::collection_of(&update.resources[0]).unwrap().unwrap();
                    assert_eq!(named, leds::collection(0));
                    let answer = self.stream.ack(&update);
                    harness.core.handle_message(harness.now, self.peer, &answer);
                    // Later streams ask for it as they are opened.
                    if !std::mem::replace(&mut self.subscribed, true) {
                        let ask = self.stream.resubscribe(types::LINE, [(named, None)].into());
                        harness.core.handle_message(harness.now, self.peer, &ask);
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
                if received == Received::AppliedAndAcknowledged {
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
fn drain_is_one_line_for_all_operations_and_a_rejoin_sends_what_differs() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut client = Client::join(&mut harness, 1, "f");
    client.run_ms(&mut harness, 200);
    assert_eq!((client.servers(), client.received.clone()), (vec![1, 2, 3, 4, 5], vec![(0, 5)]));
    let first = client.replica.verified().unwrap().number;
    harness.list_draining(&[3]);
    client.run_ms(&mut harness, 100);
    assert_eq!((client.servers(), client.received[1]), (vec![1, 2, 4, 5], (first, 1)));
    // The stream breaks; what changed meanwhile is all that is sent.
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
    // One that holds an unknown version is sent the full table.
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
    // A quarter of a report interval and its transit later, all at once, until it is acknowledged.
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
fn restart_with_stored_history_sends_only_what_differs() {
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
    // A file that is damaged is not used, and nothing stops.
    let mut damaged = file.clone();
    damaged[12] ^= 1;
    let mut harness = Harness::new(Some(&list));
    assert!(harness.core.load_tables(Some(&damaged)).is_err());
    client.reopen(&mut harness, 1);
    client.run_ms(&mut harness, 200);
    assert_eq!(client.servers(), [1, 2, 3, 4, 5]);
}

//! Orders, carried out as pushes, against a plain model of what each proxy should hold.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use serde_json::Value;
use shalereel::interface::{Action, ProxyId, RetryPolicy, ServerId, TableId};
use shalereel_platform_supervisor::{Clocks, List, Names, Streams};

const CLASSES: [&str; 2] = ["look", "buy"];
const SERVERS: u32 = 5;
const PROXIES: u16 = 3;

/// What a proxy of the platform does with the lines that it reads.
#[derive(Clone, Debug, Default, PartialEq)]
struct Proxy {
    tables: BTreeMap<String, BTreeMap<String, f64>>,
    levels: BTreeMap<String, (f64, u64)>,
    shut: BTreeSet<String>,
}

impl Proxy {
    fn take(&mut self, message: &[u8]) {
        let lines: Vec<Value> = message
            .split(|b| *b == b'\n')
            .filter(|l| !l.is_empty())
            .map(|l| serde_json::from_slice(l).unwrap())
            .collect();
        for (at, part) in lines.iter().enumerate() {
            assert_eq!(part["t"], "push");
            assert_eq!(part.get("more").is_some(), at + 1 < lines.len(), "one message, its parts linked");
            let all = CLASSES.iter().map(|class| Value::from(*class)).collect();
            for class in part.get("classes").and_then(Value::as_array).unwrap_or(&all) {
                let class = class.as_str().unwrap();
                assert!(CLASSES.contains(&class));
                let table = self.tables.entry(class.into()).or_default();
                if part.get("whole").is_some() {
                    table.clear();
                    self.levels.remove(class);
                }
                for line in part.get("lines").and_then(Value::as_array).into_iter().flatten() {
                    let (name, weight) = (line[0].as_str().unwrap().to_owned(), line[1].as_f64().unwrap());
                    if weight > 0.0 {
                        table.insert(name, weight);
                    } else {
                        table.remove(&name);
                    }
                }
                if let Some(level) = part.get("level") {
                    let told = (level.as_f64().unwrap(), part["retry"].as_u64().unwrap());
                    self.levels.insert(class.into(), told);
                }
            }
            let named = |key: &str| -> Vec<String> {
                let list = part.get(key).and_then(Value::as_array).into_iter().flatten();
                list.map(|name| name.as_str().unwrap().to_owned()).collect()
            };
            self.shut.extend(named("out"));
            for name in named("back") {
                self.shut.remove(&name);
            }
        }
    }
}

fn names() -> Names {
    let servers: Vec<Value> = (1..=SERVERS)
        .map(|at| {
            serde_json::json!({"id": format!("s{at}"), "addr": "127.0.0.1:1", "zone": "z", "kind": "k",
            "cell": 0, "state": "Ready", "weight": 1.0, "started_ms": 5.0})
        })
        .collect();
    let mut names = Names::new(vec!["z".into()], vec!["k".into()]);
    names.take(List { version: 1, full: true, servers }, Clocks { now: 1, unix_ms: 9e9 }, None);
    names
}

#[derive(Clone, Debug)]
enum Step {
    Join { proxy: ProxyId, new: bool, shut: BTreeSet<u32> },
    Break(ProxyId),
    Orders(Vec<Action>),
}

fn order() -> impl Strategy<Value = Action> {
    let (table, server) = (0..3 as TableId, 1..=SERVERS);
    let weight = prop_oneof![Just(0.0), Just(0.5), Just(2.0)];
    prop_oneof![
        4 => (table.clone(), server.clone(), weight)
            .prop_map(|(table, server, weight)| Action::SetWeight { table, server, weight }),
        2 => (server, any::<bool>()).prop_map(|(server, on)| Action::Exclude { server, on }),
        3 => (0..PROXIES, table.clone(), 0..4u16)
            .prop_map(|(proxy, table, operations)| Action::AssignTable { proxy, table, operations }),
        1 => table.clone().prop_map(|table| Action::ClearTable { table }),
        1 => (proptest::option::of(table), 0..4u16, prop_oneof![Just(1.0), Just(0.25)]).prop_map(
            |(table, operations, amount)| Action::LimitAdmission { table, operations, limit: amount, retry_policy: RetryPolicy::IfNotExecuted }
        ),
        1 => (any::<u16>(), any::<bool>())
            .prop_map(|(serial, everyone)| Action::RequestAck { serial, everyone }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..PROXIES, any::<bool>(), proptest::collection::btree_set(1..=SERVERS, 0..3))
            .prop_map(|(proxy, new, shut)| Step::Join { proxy, new, shut }),
        1 => (0..PROXIES).prop_map(Step::Break),
        5 => proptest::collection::vec(order(), 0..6).prop_map(Step::Orders),
    ]
}

/// What the orders say, without any saving.
#[derive(Default)]
struct Model {
    lines: BTreeMap<TableId, BTreeMap<ServerId, f64>>,
    gates: BTreeMap<(Option<TableId>, u16), f64>,
    suspended: BTreeSet<ServerId>,
    bound: BTreeMap<ProxyId, [Option<TableId>; 2]>,
}

fn of(mask: u16) -> impl Iterator<Item = u16> {
    (0..2).filter(move |at| mask == 0 || mask >> at & 1 == 1)
}

impl Model {
    fn apply(&mut self, order: &Action) {
        match *order {
            Action::SetWeight { table, server, weight } => {
                self.lines.entry(table).or_default().insert(server, weight);
            }
            Action::ClearTable { table } => {
                self.lines.remove(&table);
                self.gates.retain(|(of, _), _| *of != Some(table));
            }
            Action::Exclude { server, on: true } => {
                self.suspended.insert(server);
            }
            Action::Exclude { server, on: false } => {
                self.suspended.remove(&server);
            }
            Action::AssignTable { proxy, table, operations } => {
                if let Some(bound) = self.bound.get_mut(&proxy) {
                    of(operations).for_each(|at| bound[usize::from(at)] = Some(table));
                }
            }
            Action::LimitAdmission { table, operations, limit: amount, .. } => {
                self.gates.extend(of(operations).map(|at| ((table, at), amount)));
            }
            _ => {}
        }
    }

    fn check(&self, proxy: ProxyId, held: &Proxy) {
        let bound = self.bound[&proxy];
        for (at, class) in CLASSES.iter().enumerate() {
            let Some(table) = bound[at] else { continue };
            let lines = self.lines.get(&table).into_iter().flatten().filter(|(_, weight)| **weight > 0.0);
            let wanted: BTreeMap<String, f64> = lines.map(|(s, w)| (format!("s{s}"), *w)).collect();
            assert_eq!(held.tables.get(*class), Some(&wanted), "proxy {proxy}, {class}");
            let gate = |of| self.gates.get(&(of, at as u16)).copied();
            let level = match (gate(Some(table)), gate(None)) {
                (Some(own), Some(all)) => Some(own.min(all)),
                (own, all) => own.or(all),
            };
            assert_eq!(held.levels.get(*class).map(|told| told.0), level, "proxy {proxy}, {class}");
            for server in wanted.keys() {
                let out = self.suspended.iter().any(|s| format!("s{s}") == *server);
                assert_eq!(held.shut.contains(server), out, "proxy {proxy} shuts {server} out");
            }
        }
    }
}

proptest! {
    #[test]
    fn pushes_bring_each_proxy_to_what_is_ordered(steps in proptest::collection::vec(step(), 1..40)) {
        let (names, classes) = (names(), CLASSES.map(String::from));
        let (mut streams, mut model) = (Streams::new(CLASSES.len()), Model::default());
        let mut proxies: BTreeMap<ProxyId, Proxy> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Join { proxy, new, shut } => {
                    let brought = shut.iter().map(|server| format!("s{server}")).collect();
                    let held = Proxy { shut: if new { BTreeSet::new() } else { brought }, ..Proxy::default() };
                    proxies.insert(proxy, held);
                    streams.join(proxy, new);
                    model.bound.insert(proxy, [None; 2]);
                }
                Step::Break(proxy) => {
                    streams.leave(proxy);
                    model.bound.remove(&proxy);
                }
                Step::Orders(orders) => {
                    orders.iter().for_each(|order| model.apply(order));
                    let mut told = BTreeSet::new();
                    for (proxy, message) in streams.take(&orders, &names, &classes).unwrap() {
                        prop_assert!(told.insert(proxy), "two messages of one time");
                        proxies.get_mut(&proxy).unwrap().take(&message);
                    }
                    model.bound.keys().for_each(|proxy| model.check(*proxy, &proxies[proxy]));
                }
            }
        }
    }
}

#[test]
fn changes_alone_are_told_and_equal_ones_are_one_text() {
    let (names, classes) = (names(), CLASSES.map(String::from));
    let mut streams = Streams::new(CLASSES.len());
    (0..PROXIES).for_each(|proxy| streams.join(proxy, true));
    let line = |server, weight| Action::SetWeight { table: 0, server, weight };
    let install = |proxy| Action::AssignTable { proxy, table: 0, operations: 0 };
    let mut orders = vec![line(1, 1.0), line(2, 1.0)];
    orders.extend((0..PROXIES).map(install));
    assert_eq!(streams.take(&orders, &names, &classes).unwrap().len(), 3);
    let fence = Action::RequestAck { serial: 7, everyone: false };
    let told = streams.take(&[line(1, 1.0), line(2, 0.0), fence.clone()], &names, &classes).unwrap();
    let text: &[u8] = b"{\"t\":\"push\",\"lines\":[[\"s2\",0.0]],\"ticket\":7}\n";
    assert!(told.iter().all(|(_, message)| message == text && message.as_ptr() == told[0].1.as_ptr()));
    assert!(streams.answered(1, 7) && !streams.answered(1, 7), "a mark is answered once");
    assert!(
        streams.take(&[line(1, 1.0), fence], &names, &classes).unwrap().is_empty(),
        "nothing has changed"
    );
    assert!(streams.take(&[line(99, 1.0)], &names, &classes).is_err(), "of a server that is not listed");
}

//! Compares the updates that result from actions with a reference model of the state that each proxy should
//! have.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::registry_with_servers;
use proptest::prelude::*;
use serde_json::Value;
use shalereel::interface::{Action, ProxyId, RetryPolicy, ServerId, TableId};
use shalereel_platform_supervisor::{JoinKind, ProxyTables};

const OPERATIONS: [&str; 2] = ["look", "buy"];
const SERVERS: u32 = 5;
const PROXIES: u16 = 3;

/// A simulated proxy, which applies the updates that it is sent.
#[derive(Clone, Debug, Default, PartialEq)]
struct Proxy {
    tables: BTreeMap<String, BTreeMap<String, f64>>,
    limits: BTreeMap<String, (f64, u64)>,
    excluded: BTreeSet<String>,
}

impl Proxy {
    fn apply(&mut self, message: &[u8]) {
        let lines: Vec<Value> = message
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty())
            .map(|line| serde_json::from_slice(line).unwrap())
            .collect();
        for (index, part) in lines.iter().enumerate() {
            assert_eq!(part["t"], "push");
            assert_eq!(
                part.get("more").is_some(),
                index + 1 < lines.len(),
                "all parts but the last are marked as continued"
            );
            let all = OPERATIONS.iter().map(|operation| Value::from(*operation)).collect();
            for operation in part.get("classes").and_then(Value::as_array).unwrap_or(&all) {
                let operation = operation.as_str().unwrap();
                assert!(OPERATIONS.contains(&operation));
                let table = self.tables.entry(operation.into()).or_default();
                if part.get("whole").is_some() {
                    table.clear();
                    self.limits.remove(operation);
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
                    let limit = (level.as_f64().unwrap(), part["retry"].as_u64().unwrap());
                    self.limits.insert(operation.into(), limit);
                }
            }
            let named = |key: &str| -> Vec<String> {
                let list = part.get(key).and_then(Value::as_array).into_iter().flatten();
                list.map(|name| name.as_str().unwrap().to_owned()).collect()
            };
            self.excluded.extend(named("out"));
            for name in named("back") {
                self.excluded.remove(&name);
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Join { proxy: ProxyId, is_new: bool, excluded: BTreeSet<u32> },
    Leave(ProxyId),
    Apply(Vec<Action>),
}

fn action() -> impl Strategy<Value = Action> {
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
            |(table, operations, limit)| Action::LimitAdmission { table, operations, limit, retry_policy: RetryPolicy::IfNotExecuted }
        ),
        1 => (any::<u16>(), any::<bool>())
            .prop_map(|(serial, everyone)| Action::RequestAck { serial, everyone }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => (0..PROXIES, any::<bool>(), proptest::collection::btree_set(1..=SERVERS, 0..3))
            .prop_map(|(proxy, is_new, excluded)| Step::Join { proxy, is_new, excluded }),
        1 => (0..PROXIES).prop_map(Step::Leave),
        5 => proptest::collection::vec(action(), 0..6).prop_map(Step::Apply),
    ]
}

/// The reference model: the state that the actions describe, without any optimization of what is sent.
#[derive(Default)]
struct Model {
    weights: BTreeMap<TableId, BTreeMap<ServerId, f64>>,
    limits: BTreeMap<(Option<TableId>, u16), f64>,
    excluded: BTreeSet<ServerId>,
    assigned: BTreeMap<ProxyId, [Option<TableId>; 2]>,
}

fn operations_in(mask: u16) -> impl Iterator<Item = u16> {
    (0..2).filter(move |index| mask == 0 || mask >> index & 1 == 1)
}

impl Model {
    fn apply(&mut self, action: &Action) {
        match *action {
            Action::SetWeight { table, server, weight } => {
                self.weights.entry(table).or_default().insert(server, weight);
            }
            Action::ClearTable { table } => {
                self.weights.remove(&table);
                self.limits.retain(|(of, _), _| *of != Some(table));
            }
            Action::Exclude { server, on: true } => {
                self.excluded.insert(server);
            }
            Action::Exclude { server, on: false } => {
                self.excluded.remove(&server);
            }
            Action::AssignTable { proxy, table, operations } => {
                if let Some(assigned) = self.assigned.get_mut(&proxy) {
                    operations_in(operations).for_each(|index| assigned[usize::from(index)] = Some(table));
                }
            }
            Action::LimitAdmission { table, operations, limit, .. } => {
                self.limits.extend(operations_in(operations).map(|index| ((table, index), limit)));
            }
            _ => {}
        }
    }

    fn check(&self, proxy: ProxyId, actual: &Proxy) {
        let assigned = self.assigned[&proxy];
        for (index, operation) in OPERATIONS.iter().enumerate() {
            let Some(table) = assigned[index] else { continue };
            let weights = self.weights.get(&table).into_iter().flatten().filter(|(_, weight)| **weight > 0.0);
            let expected: BTreeMap<String, f64> =
                weights.map(|(server, weight)| (format!("s{server}"), *weight)).collect();
            assert_eq!(actual.tables.get(*operation), Some(&expected), "proxy {proxy}, {operation}");
            let limit_of = |table| self.limits.get(&(table, index as u16)).copied();
            let limit = match (limit_of(Some(table)), limit_of(None)) {
                (Some(own), Some(global)) => Some(own.min(global)),
                (own, global) => own.or(global),
            };
            assert_eq!(
                actual.limits.get(*operation).map(|known| known.0),
                limit,
                "proxy {proxy}, {operation}"
            );
            for server in expected.keys() {
                let excluded = self.excluded.iter().any(|id| format!("s{id}") == *server);
                assert_eq!(actual.excluded.contains(server), excluded, "proxy {proxy} excludes {server}");
            }
        }
    }
}

proptest! {
    #[test]
    fn updates_bring_each_proxy_to_the_state_that_the_actions_describe(steps in proptest::collection::vec(step(), 1..40)) {
        // All servers have a listed start, so a reconnected proxy may still exclude them.
        let (registry, operations) = (registry_with_servers(SERVERS, |_| 5.0), OPERATIONS.map(String::from));
        let mut tables = ProxyTables::new(OPERATIONS.len());
        let mut model = Model::default();
        let mut proxies: BTreeMap<ProxyId, Proxy> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Join { proxy, is_new, excluded } => {
                    let excluded = excluded.iter().map(|server| format!("s{server}")).collect();
                    let excluded = if is_new { BTreeSet::new() } else { excluded };
                    let actual = Proxy { excluded, ..Proxy::default() };
                    proxies.insert(proxy, actual);
                    tables.join(proxy, JoinKind::from_is_new(is_new));
                    model.assigned.insert(proxy, [None; 2]);
                }
                Step::Leave(proxy) => {
                    tables.leave(proxy);
                    model.assigned.remove(&proxy);
                }
                Step::Apply(actions) => {
                    actions.iter().for_each(|action| model.apply(action));
                    let mut updated = BTreeSet::new();
                    for update in tables.apply(&actions, &registry, &operations).unwrap() {
                        prop_assert!(updated.insert(update.proxy), "a proxy gets at most one update per batch");
                        proxies.get_mut(&update.proxy).unwrap().apply(&update.bytes);
                    }
                    model.assigned.keys().for_each(|proxy| model.check(*proxy, &proxies[proxy]));
                }
            }
        }
    }
}

#[test]
fn only_changes_are_sent_and_equal_updates_share_their_bytes() {
    let (registry, operations) = (registry_with_servers(SERVERS, |_| 5.0), OPERATIONS.map(String::from));
    let mut tables = ProxyTables::new(OPERATIONS.len());
    (0..PROXIES).for_each(|proxy| tables.join(proxy, JoinKind::New));
    let set_weight = |server, weight| Action::SetWeight { table: 0, server, weight };
    let assign = |proxy| Action::AssignTable { proxy, table: 0, operations: 0 };
    let mut actions = vec![set_weight(1, 1.0), set_weight(2, 1.0)];
    actions.extend((0..PROXIES).map(assign));
    assert_eq!(tables.apply(&actions, &registry, &operations).unwrap().len(), 3);
    let ack = Action::RequestAck { serial: 7, everyone: false };
    let updates =
        tables.apply(&[set_weight(1, 1.0), set_weight(2, 0.0), ack.clone()], &registry, &operations).unwrap();
    let text: &[u8] = b"{\"t\":\"push\",\"lines\":[[\"s2\",0.0]],\"ticket\":7}\n";
    assert!(updates
        .iter()
        .all(|update| update.bytes == text && update.bytes.as_ptr() == updates[0].bytes.as_ptr()));
    assert!(tables.acknowledge(1, 7) && !tables.acknowledge(1, 7), "an ack request is acknowledged once");
    assert!(
        tables.apply(&[set_weight(1, 1.0), ack], &registry, &operations).unwrap().is_empty(),
        "no update is sent if nothing has changed"
    );
    assert!(
        tables.apply(&[set_weight(99, 1.0)], &registry, &operations).is_err(),
        "an action on a server that was never listed is invalid"
    );
}

//! Operators' requests about tables.

use prost::Message as _;
use shalereel_xds_supervisor::admin::*;

use super::*;

fn request(harness: &mut Harness, query: AdminQuery) -> Result<serde_json::Value, String> {
    let message = AdminRequest { query: Some(query) }.encode_to_vec();
    let answer = harness.core.handle_admin(harness.now, &message).map_err(|status| status.message)?;
    Ok(serde_json::from_str(&AdminResponse::decode(&answer[..]).unwrap().json).unwrap())
}

fn roll_back(version: u64, duration_ms: u64, dry_run: bool) -> AdminQuery {
    AdminQuery::StartRollback(StartRollback {
        version,
        duration_ms,
        dry_run,
        actor: "night".into(),
        reason: "a test".into(),
    })
}

#[test]
fn stored_versions_are_listed_shown_and_compared() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    harness.run_ms(100);
    harness.list_draining(&[3]);
    harness.run_ms(100);
    let answer = request(&mut harness, AdminQuery::List(ListVersions { last: 10 })).unwrap();
    assert_eq!((answer["kept"].as_u64(), answer["versions"][0]["lines"].as_u64()), (Some(2), Some(4)));
    let (old, new) = (&answer["versions"][1]["version"], &answer["versions"][0]["version"]);
    let (from, to) = (old.as_u64().unwrap(), new.as_u64().unwrap());
    let answer = request(&mut harness, AdminQuery::Diff(DiffVersions { from, to })).unwrap();
    assert_eq!(
        (answer["lines"][0]["server"].as_u64(), answer["lines"].as_array().unwrap().len()),
        (Some(3), 1)
    );
    let answer = request(&mut harness, AdminQuery::Show(ShowVersion { version: from })).unwrap();
    assert_eq!(answer["lines"].as_array().unwrap().len(), 5);
    // The server that drains since then is skipped; the weights of the others are already those of the version.
    let answer = request(&mut harness, roll_back(from, 1000, true)).unwrap();
    assert_eq!((answer["takes"].as_u64(), answer["moves"].as_array().unwrap().len()), (Some(4), 0));
    assert_eq!(answer["stays"][0]["server"], 3);
    assert!(request(&mut harness, roll_back(to, 1000, false)).unwrap_err().contains("nothing to roll back"));
    assert!(request(&mut harness, roll_back(999, 1000, false)).unwrap_err().contains("not retained"));
    assert!(request(&mut harness, roll_back(from, 0, false)).unwrap_err().contains("must end"));
    assert!(harness.core.handle_admin(harness.now, b"\xff\xff").is_err());
}

#[test]
fn cap_expires_and_invalid_caps_are_rejected() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    harness.run_ms(100);
    let cap = |factor, duration_ms| {
        AdminQuery::CapServer(CapServer {
            server: 2,
            factor,
            duration_ms,
            actor: "night".into(),
            reason: "hot".into(),
        })
    };
    let weight = |harness: &mut Harness| {
        let answer = request(harness, AdminQuery::Show(ShowVersion { version: 0 })).unwrap();
        answer["lines"][1]["line"]["weight"].as_f64().unwrap()
    };
    request(&mut harness, cap(0.5, 1000)).unwrap();
    harness.run_ms(100);
    assert_eq!(weight(&mut harness), 0.5);
    assert_eq!(
        request(&mut harness, AdminQuery::List(ListVersions { last: 1 })).unwrap()["holds"][0]["server"],
        2
    );
    harness.run_ms(1100);
    assert_eq!(weight(&mut harness), 1.0);
    request(&mut harness, cap(0.25, 60_000)).unwrap();
    harness.run_ms(100);
    request(&mut harness, cap(0.0, 0)).unwrap();
    harness.run_ms(100);
    assert_eq!(weight(&mut harness), 1.0);
    assert!(request(&mut harness, cap(0.0, 5)).unwrap_err().contains("not a valid factor"));
    let unknown_server = CapServer { server: 99, factor: 0.5, duration_ms: 5, ..CapServer::default() };
    assert!(request(&mut harness, AdminQuery::CapServer(unknown_server))
        .unwrap_err()
        .contains("server 99 is not in any table"));
}

/// After two of five servers were given other capacities, a rollback restores the earlier weights as the channel has
/// capacity. It continues after a drain, and expires.
#[test]
fn rollback_is_sent_and_expires_and_a_drain_overrides_it() {
    let mut harness = Harness::new(None);
    harness.list_draining(&[]);
    let mut client = harness.join_viewer(1, "f");
    let weights = |harness: &mut Harness, client: &mut ClientStream| {
        let update = harness.read_and_acknowledge(1, client).pop()?;
        let table = Assignment::decode(&update.resources[0]).unwrap();
        let row = |row: &AssignedEndpoint| (row.address.to_string(), (row.weight * 100.0).round() as u32);
        Some(table.endpoints.iter().map(row).collect::<std::collections::BTreeMap<String, u32>>())
    };
    harness.run_ms(500);
    assert_eq!(weights(&mut harness, &mut client).unwrap().values().sum::<u32>(), 500);
    let answer = request(&mut harness, AdminQuery::List(ListVersions { last: 1 })).unwrap();
    let from = answer["versions"][0]["version"].as_u64().unwrap();
    harness.list_capacities(&[1.5, 1.0, 0.75, 1.0, 1.0]);
    harness.run_ms(2000);
    let resized = weights(&mut harness, &mut client).unwrap();
    assert_eq!(resized["127.1.0.1:80"], 150);
    let answer = request(&mut harness, roll_back(from, 3000, false)).unwrap();
    assert_eq!((answer["takes"].as_u64(), answer["moves"].as_array().unwrap().len()), (Some(5), 5));
    harness.run_ms(500);
    let rolled_back = weights(&mut harness, &mut client).unwrap();
    assert!(rolled_back.values().all(|weight| *weight == 105), "{rolled_back:?}");
    let answer = request(&mut harness, AdminQuery::List(ListVersions { last: 1 })).unwrap();
    assert_eq!(
        (answer["versions"][0]["who"].as_str(), answer["ways"][0]["lines_to_move"].as_u64()),
        (Some("night"), Some(0))
    );
    // A drain overrides the rollback.
    harness.list_draining(&[2]);
    harness.run_ms(500);
    let drained = weights(&mut harness, &mut client).unwrap();
    assert!(drained.len() == 4 && !drained.contains_key("127.1.0.2:80"), "{drained:?}");
    harness.run_ms(3000);
    let expired = weights(&mut harness, &mut client).unwrap();
    assert_eq!((expired["127.1.0.3:80"], expired.len()), (75, 4));
    let answer = request(&mut harness, AdminQuery::List(ListVersions { last: 1 })).unwrap();
    assert!(answer["ways"].as_array().unwrap().is_empty());
    assert!(harness.core.backlog().peak_lines < 200.0);
}

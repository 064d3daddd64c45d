//! Groups of real supervisors: splits, kills and pauses, planted faults, refusals without a majority, torn logs.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::Value;
use shalereel_fault_scenarios::{order_at, play, standing, Day, Rule, Stage, Verdict};
use shalereel_group::wire::{CommandPayload, MemberAddress, MembershipChange, OperatorOrder, ReleaseOrder};
use shalereel_xds_supervisor::GROUP_LOG_FILE;

const SHARED: &str = "[shared]\nelection_ms = 400.0\ndrift = 0.01\nranges = 6\ntenure_ms = 800.0\n\
                      in_flight_ms = 4500.0\nkeyed = \"order-place\"\n\n[rules]";

fn folder() -> PathBuf {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("shared-{}-{number}", std::process::id()))
}

fn day(planted: &str, length: &str, troubles: &[&str]) -> Day {
    let mut text = if planted.is_empty() { String::new() } else { format!("planted = {planted:?}\n") };
    let short = include_str!("days/short.toml");
    text += &short.replace("[rules]", SHARED).replace("count = 2\ntick_ms", "count = 3\ntick_ms");
    text = text.replace("length_s = 12.0", length).replace("service = 0.7", "service = 0.5");
    for trouble in troubles {
        text += &format!("\n[[trouble]]\n{}\n", trouble.replace(", ", "\n"));
    }
    Day::parse(Path::new("shared.toml"), &text).unwrap()
}

fn played(day: &Day) -> Verdict {
    let folder = folder();
    let verdict = play(Path::new(env!("CARGO_BIN_EXE_shalereel")), &folder, day, &mut |_| {}).unwrap();
    if verdict.stands() {
        let _ = std::fs::remove_dir_all(folder);
    }
    verdict
}

/// Killed, split, paused and heard one way, while servers are replaced and orders given.
#[test]
fn a_group_in_trouble_keeps_all_rules() {
    let verdict = played(&day(
        "",
        "length_s = 16.0",
        &[
            "at_s = 2.0, for_s = 3.0, kind = \"links_cut\", count = 1",
            "at_s = 3.0, for_s = 9.0, kind = \"deploy\", part = 0.4",
            "at_s = 4.0, for_s = 6.0, kind = \"order\", count = 1, factor = 0.5",
            "at_s = 6.0, for_s = 2.5, kind = \"supervisor_pause\", count = 1",
            "at_s = 9.0, for_s = 2.0, kind = \"supervisor_crash\", count = 1",
            "at_s = 12.0, for_s = 2.0, kind = \"links_one_way\", count = 1",
        ],
    ));
    assert!(verdict.stands(), "{}", shalereel_fault_scenarios::as_text(&verdict));
    assert!(verdict.operations["order-place"] > 0.3, "{:?}", verdict.operations);
}

#[test]
fn a_group_that_nothing_binds_is_found() {
    // One that is cut off hears of no move: nothing but its lease keeps its forwarders from the former owners.
    let moves = [
        "at_s = 3.0, for_s = 9.0, kind = \"links_cut\", count = 1",
        "at_s = 4.5, for_s = 0.0, kind = \"move_ranges\"",
    ];
    // What most ask for goes by key, so that something is in flight whenever a range moves.
    let keyed = |mut day: Day| {
        day.shared.as_mut().unwrap().keyed = "box-view".into();
        day
    };
    let verdict = played(&keyed(day("no_fence", "length_s = 14.0", &moves)));
    let broken: Vec<Rule> = verdict.broken().map(|measure| measure.rule).collect();
    assert!(broken.contains(&Rule::Fenced), "{}", shalereel_fault_scenarios::as_text(&verdict));
    let verdict = played(&keyed(day("", "length_s = 14.0", &moves)));
    assert!(verdict.stands(), "{}", shalereel_fault_scenarios::as_text(&verdict));
}

/// Waits for some supervisor of whom this holds.
fn until<T>(stage: &Stage, mut found: impl FnMut(usize, &Value) -> Option<T>) -> T {
    let begun = Instant::now();
    loop {
        for number in 0..stage.supervisors() {
            let told = standing(stage.address(number));
            if let Some(found) = told.ok().and_then(|told| found(number, &told)) {
                return found;
            }
        }
        assert!(begun.elapsed() < Duration::from_secs(30), "waited half a minute");
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn leader(stage: &Stage) -> usize {
    until(stage, |number, told| (told["state"] == "leads" && told["duties"][0].is_object()).then_some(number))
}

fn drain(server: u32) -> CommandPayload {
    CommandPayload::OperatorOrder(OperatorOrder { server, locality: 0, weight_cap_millionths: None })
}

#[test]
fn orders_need_a_majority_and_outlive_their_leader() {
    let folder = folder();
    let program = Path::new(env!("CARGO_BIN_EXE_shalereel"));
    let mut stage = Stage::open(program, &folder, &day("", "length_s = 12.0", &[])).unwrap();
    let first = leader(&stage);
    // Given at one that only follows, twice: it stands once.
    let other = stage.address((first + 1) % 3);
    let order = order_at(other, drain(1000)).unwrap()["order"].as_u64().unwrap();
    assert!(order_at(other, drain(1000)).unwrap_err().to_string().contains("stands already"));
    stage.kill_supervisor(first);
    let second =
        until(&stage, |number, told| (told["state"] == "leads" && number != first).then_some(number));
    let stands = |told: &Value| told["orders"][0]["order"] == order && told["orders"][0]["begun"] == true;
    until(&stage, |_, told| stands(told).then_some(()));
    stage.kill_supervisor(second);
    let last = 3 - first - second;
    until(&stage, |_, told| (told["state"] == "alone").then_some(()));
    let refused = order_at(stage.address(last), drain(1003)).unwrap_err().to_string();
    assert!(refused.contains("2 are needed; nothing was ordered"), "{refused}");
    // The first is back, its log torn by its death: with the last one it is a majority, and knows the order.
    let log = folder.join(format!("supervisor-{first}")).join(GROUP_LOG_FILE);
    let mut bytes = std::fs::read(&log).unwrap();
    bytes.extend([9, 0, 0, 0, 1, 2, 3]);
    std::fs::write(&log, bytes).unwrap();
    stage.revive_supervisor(first).unwrap();
    leader(&stage);
    assert!(
        stands(&standing(stage.address(first)).unwrap()) || stands(&standing(stage.address(last)).unwrap())
    );
    order_at(stage.address(last), CommandPayload::ReleaseOrder(ReleaseOrder { order_index: order })).unwrap();
    until(&stage, |_, told| told["orders"].as_array().is_some_and(Vec::is_empty).then_some(()));
    stage.close().unwrap();
    let _ = std::fs::remove_dir_all(folder);
}

/// One that is lost for good is replaced under a new number, and its successor counts towards the majority.
#[test]
fn a_controller_is_replaced_by_one_with_a_new_number() {
    let folder = folder();
    let program = Path::new(env!("CARGO_BIN_EXE_shalereel"));
    let day = day("", "length_s = 12.0", &[]);
    let mut stage = Stage::open(program, &folder, &day).unwrap();
    let first = leader(&stage);
    let lost = (first + 1) % 3;
    stage.kill_supervisor(lost);
    let free = std::net::TcpListener::bind("127.0.3.9:0").unwrap().local_addr().unwrap();
    let members: Vec<String> = (0..3).map(|number| stage.address(number).to_string()).collect();
    let state = folder.join("new").to_string_lossy().into_owned();
    let text =
        day.deployment(3, [&free.to_string(), "127.0.4.9:0", "127.0.5.9:0"], "127.0.0.9:9", &state, &members);
    let text =
        text.replace("supervisors = 3", "supervisors = 4").replace("[shared]", "[shared]\njoining = true");
    let file = folder.join("new.toml");
    std::fs::write(&file, text).unwrap();
    let mut new = std::process::Command::new(program)
        .args(["daemon", "--config", &file.to_string_lossy()])
        .stdout(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let seat = |number, address: String, out| {
        let seat = Some(MemberAddress { id: number, address });
        order_at(
            stage.address(first),
            CommandPayload::ChangeMembership(MembershipChange { member: seat, removed: out }),
        )
        .unwrap();
    };
    seat(3, free.to_string(), false);
    let has = |told: &Value, number: usize, seat: &str| {
        let members = told["members"].as_array().into_iter().flatten();
        members.filter(|member| member["number"] == number && member["seat"] == seat).count() == 1
    };
    until(&stage, |_, told| (told["state"] == "leads" && has(told, 3, "votes")).then_some(()));
    seat(lost as u32, String::new(), true);
    // The status lists the newest configuration even before a majority has it; wait until the removal is committed.
    let committed = |told: &Value| told["log"]["committed"] == told["log"]["last"];
    until(&stage, |_, told| {
        (told["state"] == "leads" && has(told, lost, "none") && committed(told)).then_some(())
    });
    // Two of three are left once the first leader is gone too: the new one is needed, and is enough.
    stage.kill_supervisor(first);
    let other = 3 - first - lost;
    let begun = Instant::now();
    while order_at(stage.address(other), drain(1000)).is_err() {
        assert!(begun.elapsed() < Duration::from_secs(30), "no order is taken");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(standing(free).unwrap()["me"], 3);
    new.kill().unwrap();
    new.wait().unwrap();
    stage.close().unwrap();
    let _ = std::fs::remove_dir_all(folder);
}

#[rstest]
#[case::too_fast("election_ms = 400.0", "election_ms = 1.0", "election_ms")]
#[case::drifting("drift = 0.01", "drift = 3.0", "drift")]
fn a_bad_group_is_refused_with_its_place(#[case] from: &str, #[case] to: &str, #[case] key: &str) {
    let day = day("", "length_s = 12.0", &[]);
    let members: Vec<String> = (1..4).map(|at| format!("127.0.3.{at}:4000")).collect();
    let addresses = ["127.0.3.1:4000", "127.0.4.1:4001", "127.0.5.1:4002"];
    let text = day.deployment(0, addresses, "127.0.0.1:5000", "/nowhere", &members).replace(from, to);
    let error =
        shalereel_xds_supervisor::Deployment::parse(Path::new("d.toml"), &text).unwrap_err().to_string();
    assert!(error.contains(&format!("shared.{key}")) && error.contains("d.toml:"), "{error}");
}

//! Groups of supervisor processes: network partitions, crashes and pauses, planted faults, orders rejected without a
//! majority, truncated logs, and replaced members.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::Value;
use shalereel_fault_scenarios::{
    group_status, run_scenario, submit_command, LocalDeployment, Rule, Scenario, Verdict,
};
use shalereel_group::wire::{CommandPayload, MemberAddress, MembershipChange, OperatorOrder, ReleaseOrder};
use shalereel_xds_supervisor::GROUP_LOG_FILE;

/// Limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Section of the drill for a group, put before its `[rules]`.
const SHARED_SECTION: &str = "[shared]\nelection_ms = 400.0\ndrift = 0.01\nranges = 6\ntenure_ms = 800.0\n\
                      in_flight_ms = 4500.0\nkeyed = \"order-place\"\n\n[rules]";

/// A path for the folder of a test; each call returns another one.
fn new_folder() -> PathBuf {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("shared-{}-{number}", std::process::id()))
}

/// The short drill with three supervisors in a group, a planted fault if `planted` is not empty, and scheduled faults.
fn group_drill(planted: &str, length: &str, faults: &[&str]) -> Scenario {
    let mut text = if planted.is_empty() { String::new() } else { format!("planted = {planted:?}\n") };
    let short = include_str!("days/short.toml");
    text += &short.replace("[rules]", SHARED_SECTION).replace("count = 2\ntick_ms", "count = 3\ntick_ms");
    text = text.replace("length_s = 12.0", length).replace("service = 0.7", "service = 0.5");
    for fault in faults {
        text += &format!("\n[[trouble]]\n{}\n", fault.replace(", ", "\n"));
    }
    Scenario::parse(Path::new("shared.toml"), &text).unwrap()
}

/// Runs a drill; keeps its folder if it fails.
fn run_drill(scenario: &Scenario) -> Verdict {
    let folder = new_folder();
    let verdict =
        run_scenario(Path::new(env!("CARGO_BIN_EXE_shalereel")), &folder, scenario, &mut |_| {}).unwrap();
    if verdict.passed() {
        let _ = std::fs::remove_dir_all(folder);
    }
    verdict
}

/// The group has crashes, partitions, pauses and one-way links while servers are replaced and an order is in force.
#[test]
fn a_group_with_faults_keeps_all_rules() {
    let verdict = run_drill(&group_drill(
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
    assert!(verdict.passed(), "{}", shalereel_fault_scenarios::text_report(&verdict));
    assert!(verdict.operations["order-place"] > 0.3, "{:?}", verdict.operations);
}

#[test]
fn a_group_without_fencing_breaks_the_fencing_rule() {
    // A member that is cut off does not learn that ranges move: only the expiry of its lease stops its forwarders from
    // sending to the former owners.
    let faults = [
        "at_s = 3.0, for_s = 9.0, kind = \"links_cut\", count = 1",
        "at_s = 4.5, for_s = 0.0, kind = \"move_ranges\"",
    ];
    // The most frequent operation is routed by key, so that requests are in flight whenever a range moves.
    let keyed = |mut scenario: Scenario| {
        scenario.group.as_mut().unwrap().keyed = "box-view".into();
        scenario
    };
    let verdict = run_drill(&keyed(group_drill("no_fence", "length_s = 14.0", &faults)));
    let broken_rules: Vec<Rule> = verdict.violated_rules().map(|measure| measure.rule).collect();
    assert!(broken_rules.contains(&Rule::Fenced), "{}", shalereel_fault_scenarios::text_report(&verdict));
    let verdict = run_drill(&keyed(group_drill("", "length_s = 14.0", &faults)));
    assert!(verdict.passed(), "{}", shalereel_fault_scenarios::text_report(&verdict));
}

/// Queries all supervisors until `matches` returns a value for the status of one of them.
fn wait_for_status<T>(
    deployment: &LocalDeployment,
    mut matches: impl FnMut(usize, &Value) -> Option<T>,
) -> T {
    let started = Instant::now();
    loop {
        for number in 0..deployment.supervisors() {
            let status = group_status(deployment.address(number));
            if let Some(value) = status.ok().and_then(|status| matches(number, &status)) {
                return value;
            }
        }
        assert!(started.elapsed() < TIMEOUT, "no supervisor reached the expected status within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Waits for a leader that has assigned duties; returns its number.
fn wait_for_leader(deployment: &LocalDeployment) -> usize {
    wait_for_status(deployment, |number, status| {
        (status["state"] == "leads" && status["duties"][0].is_object()).then_some(number)
    })
}

/// Number of the first server of a drill; the others follow.
const FIRST_SERVER: u32 = 1000;

fn drain_order(server: u32) -> CommandPayload {
    CommandPayload::OperatorOrder(OperatorOrder { server, locality: 0, weight_cap_millionths: None })
}

#[test]
fn an_order_needs_a_majority_and_survives_the_loss_of_leaders() {
    let folder = new_folder();
    let program = Path::new(env!("CARGO_BIN_EXE_shalereel"));
    let mut deployment =
        LocalDeployment::start(program, &folder, &group_drill("", "length_s = 12.0", &[])).unwrap();
    let first = wait_for_leader(&deployment);
    // Sent twice to a follower: the second order is rejected as a duplicate.
    let follower = deployment.address((first + 1) % 3);
    let order = submit_command(follower, drain_order(FIRST_SERVER)).unwrap()["order"].as_u64().unwrap();
    assert!(submit_command(follower, drain_order(FIRST_SERVER))
        .unwrap_err()
        .to_string()
        .contains("stands already"));
    deployment.kill_supervisor(first);
    let second = wait_for_status(&deployment, |number, status| {
        (status["state"] == "leads" && number != first).then_some(number)
    });
    let is_in_force =
        |status: &Value| status["orders"][0]["order"] == order && status["orders"][0]["begun"] == true;
    wait_for_status(&deployment, |_, status| is_in_force(status).then_some(()));
    deployment.kill_supervisor(second);
    // The numbers 0, 1 and 2 of the supervisors add up to 3.
    let last = 3 - first - second;
    wait_for_status(&deployment, |_, status| (status["state"] == "alone").then_some(()));
    let rejection =
        submit_command(deployment.address(last), drain_order(FIRST_SERVER + 3)).unwrap_err().to_string();
    assert!(rejection.contains("2 are needed; nothing was ordered"), "{rejection}");
    // The first leader restarts with a partly written record at the end of its log, as a crash leaves it. With the last
    // supervisor it forms a majority, which still has the order.
    let log = folder.join(format!("supervisor-{first}")).join(GROUP_LOG_FILE);
    let mut bytes = std::fs::read(&log).unwrap();
    bytes.extend([9, 0, 0, 0, 1, 2, 3]);
    std::fs::write(&log, bytes).unwrap();
    deployment.restart_supervisor(first).unwrap();
    wait_for_leader(&deployment);
    assert!(
        is_in_force(&group_status(deployment.address(first)).unwrap())
            || is_in_force(&group_status(deployment.address(last)).unwrap())
    );
    submit_command(
        deployment.address(last),
        CommandPayload::ReleaseOrder(ReleaseOrder { order_index: order }),
    )
    .unwrap();
    wait_for_status(&deployment, |_, status| {
        status["orders"].as_array().is_some_and(Vec::is_empty).then_some(())
    });
    deployment.stop().unwrap();
    let _ = std::fs::remove_dir_all(folder);
}

/// A controller that is lost for good is replaced by one with a new number, which counts towards the majority.
#[test]
fn a_controller_is_replaced_by_one_with_a_new_number() {
    let folder = new_folder();
    let program = Path::new(env!("CARGO_BIN_EXE_shalereel"));
    let scenario = group_drill("", "length_s = 12.0", &[]);
    let mut deployment = LocalDeployment::start(program, &folder, &scenario).unwrap();
    let first = wait_for_leader(&deployment);
    let lost = (first + 1) % 3;
    deployment.kill_supervisor(lost);
    let new_address = std::net::TcpListener::bind("127.0.3.9:0").unwrap().local_addr().unwrap();
    let members: Vec<String> = (0..3).map(|number| deployment.address(number).to_string()).collect();
    let state = folder.join("new").to_string_lossy().into_owned();
    let text = scenario.deployment(
        3,
        [&new_address.to_string(), "127.0.4.9:0", "127.0.5.9:0"],
        "127.0.0.9:9",
        &state,
        &members,
    );
    let text =
        text.replace("supervisors = 3", "supervisors = 4").replace("[shared]", "[shared]\njoining = true");
    let file = folder.join("new.toml");
    std::fs::write(&file, text).unwrap();
    let mut new_controller = std::process::Command::new(program)
        .args(["daemon", "--config", &file.to_string_lossy()])
        .stdout(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let change_membership = |number, address: String, removed| {
        let member = Some(MemberAddress { id: number, address });
        submit_command(
            deployment.address(first),
            CommandPayload::ChangeMembership(MembershipChange { member, removed }),
        )
        .unwrap();
    };
    change_membership(3, new_address.to_string(), false);
    let has_seat = |status: &Value, number: usize, seat: &str| {
        let members = status["members"].as_array().into_iter().flatten();
        members.filter(|member| member["number"] == number && member["seat"] == seat).count() == 1
    };
    wait_for_status(&deployment, |_, status| {
        (status["state"] == "leads" && has_seat(status, 3, "votes")).then_some(())
    });
    change_membership(lost as u32, String::new(), true);
    // The status lists the newest configuration even before a majority has it; wait until the removal is committed.
    let committed = |status: &Value| status["log"]["committed"] == status["log"]["last"];
    wait_for_status(&deployment, |_, status| {
        (status["state"] == "leads" && has_seat(status, lost, "none") && committed(status)).then_some(())
    });
    // Without the first leader two of the three members remain, so that the majority needs the new controller.
    deployment.kill_supervisor(first);
    let remaining = 3 - first - lost;
    let started = Instant::now();
    while submit_command(deployment.address(remaining), drain_order(FIRST_SERVER)).is_err() {
        assert!(started.elapsed() < TIMEOUT, "no order was accepted within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(group_status(new_address).unwrap()["me"], 3);
    new_controller.kill().unwrap();
    new_controller.wait().unwrap();
    deployment.stop().unwrap();
    let _ = std::fs::remove_dir_all(folder);
}

#[rstest]
#[case::too_fast("election_ms = 400.0", "election_ms = 1.0", "election_ms")]
#[case::drifting("drift = 0.01", "drift = 3.0", "drift")]
fn an_invalid_group_setting_is_rejected_with_its_position(
    #[case] from: &str,
    #[case] to: &str,
    #[case] key: &str,
) {
    let scenario = group_drill("", "length_s = 12.0", &[]);
    let members: Vec<String> = (1..4).map(|at| format!("127.0.3.{at}:4000")).collect();
    let addresses = ["127.0.3.1:4000", "127.0.4.1:4001", "127.0.5.1:4002"];
    let text = scenario.deployment(0, addresses, "127.0.0.1:5000", "/nowhere", &members).replace(from, to);
    let error =
        shalereel_xds_supervisor::Deployment::parse(Path::new("d.toml"), &text).unwrap_err().to_string();
    assert!(error.contains(&format!("shared.{key}")) && error.contains("d.toml:"), "{error}");
}

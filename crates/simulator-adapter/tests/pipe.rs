//! Tests of the `shalereel-wirehost` process: its replies on standard output, its errors, and its exit
//! status.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use rstest::rstest;

const SETTINGS: &str = include_str!("profile.json");
/// The header of a batch: its time in milliseconds.
const BATCH_TIME: [u8; 8] = 1_000.0_f64.to_be_bytes();
/// The record that stops instance 1.
const STOP: [u8; 5] = [11, 0, 0, 0, 1];
/// The record by which instance 1 starts to watch endpoints.
const WATCH_ENDPOINTS: [u8; 6] = [70, 0, 0, 0, 1, 1];

fn frame(records: &[u8]) -> Vec<u8> {
    let length = (BATCH_TIME.len() + records.len()) as u32;
    [&length.to_be_bytes(), &BATCH_TIME[..], records].concat()
}

/// A record that starts instance 1 with seed 9.
fn start(settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_be_bytes();
    [&[7, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 9][..], &length, settings.as_bytes()].concat()
}

fn run(input: &[u8]) -> Output {
    let mut host = Command::new(env!("CARGO_BIN_EXE_shalereel-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the host starts");
    host.stdin.take().expect("standard input is piped").write_all(input).expect("the host reads");
    host.wait_with_output().expect("the host ends")
}

#[rstest]
#[case::nothing(&[], &[])]
#[case::empty_batches(&[frame(&[]), frame(&[])].concat(), &[0; 16])]
fn host_exits_without_error_when_input_ends_between_frames(#[case] input: &[u8], #[case] reply: &[u8]) {
    let output = run(input);
    assert!(output.status.success());
    assert_eq!(output.stdout, reply);
}

#[rstest]
#[case::truncated_length(vec![0, 0], "length")]
#[case::truncated_frame(frame(&[])[..9].to_vec(), "of the 8 bytes of a frame's content")]
#[case::truncated_record(frame(&[8, 0, 0, 0, 1]), "record 0 at byte 8")]
#[case::unknown_code(frame(&[200]), "unknown code 200")]
#[case::settings_not_json(frame(&start("ready")), "settings")]
#[case::setting_missing(frame(&start(&SETTINGS.replace("cold_from", "warm_from"))), "cold_from")]
#[case::invalid_duration(frame(&start(&SETTINGS.replace("9000.0", "-1.0"))), "invalid duration in milliseconds")]
fn malformed_input_is_reported_on_standard_error_without_a_reply(
    #[case] input: Vec<u8>,
    #[case] error_part: &str,
) {
    let output = run(&input);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert_eq!(output.stdout, []);
    assert!(errors.contains(error_part), "{errors}");
}

#[rstest]
fn instance_that_restarts_within_a_batch_watches_endpoints_once() {
    let record = start(SETTINGS);
    let output = run(&frame(&[&record[..], &STOP, &record].concat()));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let watches = output.stdout.windows(6).filter(|record| record == &WATCH_ENDPOINTS).count();
    assert_eq!(watches, 1);
}

//! Rejection of invalid deployment files.

use rstest::rstest;

use super::*;

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
#[case::history_too_short(
    "[list]",
    "[tables]\nhours = 0.0\n\n[list]",
    "file:13: tables.hours: 0 is out of range; give a number from 0.01"
)]
#[case::operators_off_loopback(
    "[list]",
    "[admin]\nlisten = \"10.0.0.1:1\"\n\n[list]",
    "file:13: admin.listen: 10.0.0.1:1 is not a loopback"
)]
#[case::missing_key("paced = true", "", "missing field `paced`")]
#[case::unknown_admission_mode("admission = \"ignored\"", "admission = \"rate\"", "unknown variant `rate`")]
#[case::timeout_before_objective(
    "integration_timeout_ms = 3000.0",
    "integration_timeout_ms = 3.0",
    "operation.integration_timeout_ms: 3 is out of range; give a number from 1000"
)]
fn invalid_file_is_rejected_with_line_key_and_remedy(
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let text = DEPLOYMENT.replace("supervisors = 1", "supervisors = 1\nseed = 3").replacen(from, to, 1);
    let error = Deployment::parse(Path::new("file"), &text).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
}

//! Checks that a file written by an earlier version is read with the same content.

use shalereel::interface::Snapshot;
use shalereel_snapshot::StoredSnapshot;

/// Formats the literals of a value in the order of its fields, without the names of types and fields, which
/// may change.
fn literals(value: &impl std::fmt::Debug) -> String {
    let text = format!("{value:?}");
    let mut words = text.split(|c: char| !(c.is_alphanumeric() || "\"._-:".contains(c)));
    let literal = |word: &&str| {
        let word = word.trim_end_matches(':');
        matches!(word, "true" | "false" | "None")
            || word.starts_with(|c: char| c.is_ascii_digit() || c == '"' || c == '-')
    };
    let mut line = words.by_ref().filter(literal).collect::<Vec<_>>().join(" ");
    line.push('\n');
    line
}

/// Guards against renaming or moving a field in a way that changes the stored form, which the compiler does
/// not report.
#[test]
fn learned_state_of_an_earlier_version_is_read() {
    let stored = StoredSnapshot::decode_file(include_bytes!("stored/memory.bin")).unwrap();
    let fleet = Snapshot { servers: Vec::new(), ..stored.learned.clone() };
    let mut read = literals(&(stored.taken_at, &stored.incarnations, &stored.proxy_rates, &fleet));
    read.extend(stored.learned.servers.iter().map(literals));
    assert_eq!(read, include_str!("stored/memory.txt"));
}

/// Guards against a change of the stored form: other versions of the program could not read it.
#[test]
fn learned_state_of_an_earlier_version_is_written_with_the_same_bytes() {
    let file = include_bytes!("stored/memory.bin");
    let stored = StoredSnapshot::decode_file(file).unwrap();
    let written =
        [&shalereel_snapshot::MAGIC[..], &shalereel_journal::frame(&stored.encode_record())].concat();
    assert!(written == file, "{} and {} bytes", written.len(), file.len());
}

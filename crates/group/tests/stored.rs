//! Compatibility of stored files: log files of an earlier version are read with the same content.

use shalereel_group::wire::{CommandPayload, DutyKey, Entry};
use shalereel_group::{StateMachine, StoredLog, StoredLogError, LOG_FILE_MAGIC};

/// The literals in a value's debug output in the order of its fields. Names of types and fields are left out, since
/// they may change.
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

/// The wire tag of the entry's command; 0 for an entry without a command.
fn command_tag(entry: &Entry) -> u32 {
    match entry.command.as_ref().and_then(|command| command.payload.as_ref()) {
        None => 0,
        Some(CommandPayload::AssignDuty(_)) => 2,
        Some(CommandPayload::OperatorOrder(_)) => 3,
        Some(CommandPayload::ReleaseOrder(_)) => 4,
        Some(CommandPayload::BeginDrain(_)) => 5,
        Some(CommandPayload::MoveRange(_)) => 6,
        Some(CommandPayload::RangeCleared(_)) => 7,
        Some(CommandPayload::AssignRange(_)) => 8,
        Some(CommandPayload::ChangeMembership(_)) => 9,
    }
}

/// Guards against a renamed or reordered field that changes the stored format, which the compiler does not detect.
#[test]
fn log_and_votes_of_an_earlier_version_are_read() {
    let file = include_bytes!("stored/group.log");
    let found = StoredLog::read(file).unwrap();
    assert_eq!(found.complete_bytes, file.len());
    let mut read = literals(&(found.start_count, &found.vote, &found.snapshot));
    for entry in &found.entries {
        read += &format!("{} {}", command_tag(entry), literals(entry));
    }
    assert_eq!(read, include_str!("stored/group.txt"));
}

/// Guards against an error that reports damage although a later version wrote the file.
#[test]
fn intact_frame_that_cannot_be_decoded_is_not_reported_as_damage() {
    let file = [&LOG_FILE_MAGIC[..], &shalereel_journal::frame(&[0xff])].concat();
    assert_eq!(StoredLog::read(&file), Err(StoredLogError::Undecodable { offset: LOG_FILE_MAGIC.len() }));
}

/// Guards against a change of the stored state's format, by which a restarted member would lose all applied commands.
#[test]
fn snapshot_of_an_earlier_version_is_read() {
    let file = include_bytes!("stored/snapshot.log");
    let found = StoredLog::read(file).unwrap();
    assert_eq!(found.complete_bytes, file.len());
    let state = StateMachine::decode(&found.snapshot.state).unwrap();
    assert_eq!(state.encode(), found.snapshot.state);
    let mut read = literals(&(found.start_count, &found.vote, &found.snapshot));
    for entry in &found.entries {
        read += &format!("{} {}", command_tag(entry), literals(entry));
    }
    for (&duty, assignment) in state.duties() {
        let key = DutyKey::from(duty);
        read += &format!("duty {} {} {}", key.kind, key.position, literals(assignment));
    }
    state.orders().iter().for_each(|order| read += &format!("order {}", literals(&order)));
    state.ranges().iter().for_each(|range| read += &format!("range {}", literals(&range)));
    state.membership_changes().iter().for_each(|change| read += &format!("member {}", literals(&change)));
    let known: Vec<u64> = (0..2_000).filter(|&request| state.has_applied(request)).collect();
    read += &format!("requests {}history {}\n", literals(&known), state.history_checksum());
    assert_eq!(read, include_str!("stored/snapshot.txt"));
}

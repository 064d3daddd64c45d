//! A file written by an earlier version is read with the same content.

use shalereel_group::wire::{Act, DutyName, Entry};
use shalereel_group::{Duties, Recovered};

/// The literals of a value in the order of its fields, without the names of types and fields, which may change.
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

/// The number of the command's field on the wire; 0 for the first entry of a term.
fn command(entry: &Entry) -> u32 {
    match entry.command.as_ref().and_then(|command| command.act.as_ref()) {
        None => 0,
        Some(Act::Assign(_)) => 2,
        Some(Act::Order(_)) => 3,
        Some(Act::Release(_)) => 4,
        Some(Act::Begin(_)) => 5,
        Some(Act::Move(_)) => 6,
        Some(Act::Cleared(_)) => 7,
        Some(Act::Give(_)) => 8,
        Some(Act::Seat(_)) => 9,
    }
}

/// Guards against a renamed or moved field that changes the stored form without a word from the compiler.
#[test]
fn log_and_votes_of_an_earlier_version_are_read() {
    let file = include_bytes!("stored/group.log");
    let found = Recovered::read(file).unwrap();
    assert_eq!(found.whole, file.len());
    let mut read = literals(&(found.boot, &found.vote, &found.base));
    for entry in &found.entries {
        read += &format!("{} {}", command(entry), literals(entry));
    }
    assert_eq!(read, include_str!("stored/group.txt"));
}

/// Guards against a changed form of the stored state, which would take all that was agreed from a member at its start.
#[test]
fn snapshot_of_an_earlier_version_is_read() {
    let file = include_bytes!("stored/snapshot.log");
    let found = Recovered::read(file).unwrap();
    assert_eq!(found.whole, file.len());
    let state = Duties::decode(&found.base.state).unwrap();
    assert_eq!(state.encode(), found.base.state);
    let mut read = literals(&(found.boot, &found.vote, &found.base));
    for entry in &found.entries {
        read += &format!("{} {}", command(entry), literals(entry));
    }
    for (&duty, held) in state.duties() {
        let name = DutyName::from(duty);
        read += &format!("duty {} {} {}", name.kind, name.at, literals(held));
    }
    state.orders().iter().for_each(|order| read += &format!("order {}", literals(&order)));
    state.ranges().iter().for_each(|range| read += &format!("range {}", literals(&range)));
    state.seats().iter().for_each(|seat| read += &format!("member {}", literals(&seat)));
    let known: Vec<u64> = (0..2_000).filter(|&request| state.knows(request)).collect();
    read += &format!("requests {}history {}\n", literals(&known), state.history());
    assert_eq!(read, include_str!("stored/snapshot.txt"));
}

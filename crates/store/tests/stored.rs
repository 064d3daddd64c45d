//! A file written by an earlier version is read with the same content.

use shalereel_store::{Bounds, Store};

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

/// Guards against a renamed or moved field that changes the stored form without a word from the compiler.
#[test]
fn table_history_of_an_earlier_version_is_read() {
    let file = include_bytes!("stored/tables.log");
    let mut store = Store::new(Bounds { versions: 1000, bytes: 1 << 20, age: u64::MAX }, 1);
    assert_eq!(store.recall(file), Ok(file.len()));
    let mut read: String = store.versions().into_iter().map(literals).collect();
    for table in store.tables() {
        read += &literals(&(table, store.check(table), store.lines(table).collect::<Vec<_>>()));
    }
    assert_eq!(read, include_str!("stored/tables.txt"));
}

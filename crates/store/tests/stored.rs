//! Compatibility of the stored history: a file of an earlier program version is read with the same content, and the bytes of
//! a written file do not change.

use shalereel_store::{Line, Provenance, RetentionLimits, Store, MAGIC};

/// The literals in the debug output of a value, in the order of its fields. Names of types and fields are left out, since they
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

/// Guards against a renamed or moved field that changes the stored form without a compiler error.
#[test]
fn history_file_of_an_earlier_program_version_is_read() {
    let file = include_bytes!("stored/tables.log");
    let mut store = Store::new(RetentionLimits { versions: 1000, bytes: 1 << 20, age: u64::MAX }, 1);
    assert_eq!(store.load(file), Ok(file.len()));
    let mut read: String = store.versions().into_iter().map(literals).collect();
    for table in store.tables() {
        read += &literals(&(table, store.check(table), store.lines(table).collect::<Vec<_>>()));
    }
    assert_eq!(read, include_str!("stored/tables.txt"));
}

/// Guards against a change of the written form, which other versions of the program could not read.
#[test]
fn history_file_is_written_with_unchanged_bytes() {
    let mut store = Store::new(RetentionLimits { versions: 2, bytes: 1 << 20, age: u64::MAX }, 1);
    let first =
        Line { address: ([127, 1, 0, 1], 80).into(), weight: 10_000, draining: false, incarnation: 7 };
    let second =
        Line { address: "[2001:db8::1]:8080".parse().unwrap(), weight: 5, draining: true, incarnation: 300 };
    let provenance = Provenance::new("module", "start");
    store.publish(3, [(1, Some(first)), (2, Some(second))], 1_000, &provenance);
    store.publish(3, [(1, Some(Line { weight: 9_000, ..first }))], 2_000, &provenance);
    store.publish(3, [(2, None)], 3_000, &Provenance::new("anna", "slow disk"));
    store.write_failed();
    store.publish(3, [(1, None)], 4_000, &provenance);
    let mut file = MAGIC.to_vec();
    let writes = store.take_writes();
    assert!(writes.last().unwrap().replaces_file);
    writes.last().unwrap().records.iter().for_each(|record| file.extend(shalereel_journal::frame(record)));
    let hex: String = file.iter().map(|byte| format!("{byte:02x}")).collect();
    let expected = "73686c7274626c313d000000e75f5c840a3b0a390803100218d00f220f080112067f010001005018a8462807221d08021212\
        20010db80000000000000000000000011f901805200128ac0228043f000000d08d71fd0a3d123b08031003180220b8172a04\
        616e6e613209736c6f77206469736b38014210826a644a1df0440aff842da157c5690049a62858e178f9a76c520208023b00\
        0000b976ddcd0a39123708041003180320a01f2a066d6f64756c653205737461727442100000000000000000000000000000\
        000049a62858e178f9a76c52020801";
    assert_eq!(hex, expected);
}

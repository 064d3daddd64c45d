//! Frames of append-only files: their bytes, truncated files, and damaged files.

use shalereel_journal::{frame, records, JournalError, Record};

const MAGIC: &[u8; 8] = b"testing1";

/// Guards against a change of the stored form, after which existing files could not be read.
#[test]
fn frame_is_length_then_checksum_then_record() {
    // CRC-32C of "123456789" is e3069283 (RFC 3720's polynomial).
    assert_eq!(frame(b"123456789"), b"\x09\0\0\0\x83\x92\x06\xe3123456789");
    assert_eq!(frame(&[0; 32])[..8], [32, 0, 0, 0, 0xaa, 0x36, 0x91, 0x8a]);
    let file = b"testing1\x09\0\0\0\x83\x92\x06\xe3123456789";
    assert_eq!(records(file, MAGIC), Ok(vec![Record { payload: b"123456789", end: 25 }]));
}

#[test]
fn truncated_file_has_the_frames_before_the_cut_and_damaged_file_is_rejected() {
    let payloads: [&[u8]; 3] = [b"one", b"the second", b"3"];
    let mut file = MAGIC.to_vec();
    let ends: Vec<usize> = payloads
        .iter()
        .map(|payload| {
            file.extend(frame(payload));
            file.len()
        })
        .collect();
    for cut in 0..=file.len() {
        let found = records(&file[..cut], MAGIC).unwrap();
        assert_eq!(found.len(), ends.iter().filter(|end| **end <= cut).count(), "cut at {cut}");
        assert!(found.iter().zip(payloads).all(|(record, payload)| record.payload == payload));
    }
    let mut damaged = file.clone();
    damaged[MAGIC.len() + 9] ^= 1;
    assert_eq!(records(&damaged, MAGIC), Err(JournalError::Damaged { offset: MAGIC.len() }));
    assert_eq!(records(b"another file", MAGIC), Err(JournalError::UnknownFormat));
}

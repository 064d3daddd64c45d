//! The codec: any cut of the bytes reads the same, and nothing that comes makes it fail.

use proptest::prelude::*;
use rstest::rstest;
use shalereel_platform_supervisor::{read, Answer, Lines, Said, Unread};

/// Cuts the bytes at these places and hands on the pieces.
fn pieces<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut places: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    places.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect()
}

proptest! {
    #[test]
    fn lines_read_the_same_however_they_are_cut(
        bytes in proptest::collection::vec(prop_oneof![Just(b'\n'), any::<u8>()], 0..200),
        cuts in proptest::collection::vec(any::<usize>(), 0..20),
    ) {
        let (mut lines, mut came) = (Lines::default(), Vec::new());
        for piece in pieces(&bytes, &cuts) {
            lines.take(piece, 300, |line| {
                let _ = read(line);
                came.push(line.to_vec());
            }).unwrap();
        }
        let mut wanted: Vec<&[u8]> = bytes.split(|byte| *byte == b'\n').collect();
        prop_assert_eq!(lines.held(), wanted.pop().unwrap_or_default().len());
        prop_assert_eq!(came, wanted);
    }

    #[test]
    fn an_answer_reads_the_same_however_it_is_cut(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..6),
        cuts in proptest::collection::vec(any::<usize>(), 0..20),
    ) {
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for chunk in &chunks {
            bytes.extend(format!("{:x}\r\n", chunk.len()).bytes().chain(chunk.iter().copied()).chain(*b"\r\n"));
        }
        bytes.extend(b"0\r\n\r\n");
        let (mut answer, mut body) = (Answer::default(), Vec::new());
        for piece in pieces(&bytes, &cuts) {
            answer.take(piece, &mut body).unwrap();
        }
        prop_assert!(answer.is_over());
        prop_assert_eq!((answer.status(), body), (Some(200), chunks.concat()));
    }

    #[test]
    fn no_bytes_make_the_answer_fail_otherwise_than_by_an_error(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        head in prop_oneof![Just(""), Just("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"),
            Just("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n")],
    ) {
        let (mut answer, mut body) = (Answer::default(), Vec::new());
        let _ = answer.take(head.as_bytes(), &mut body).and_then(|()| answer.take(&bytes, &mut body));
        prop_assert!(body.len() <= bytes.len());
    }
}

#[rstest]
#[case::fields_missing(r#"{"t":"demand","id":1,"lane":"look","count":2,"fail":0}"#)]
#[case::another_type(r#"{"t":"demand","id":1,"lane":[1],"count":2,"fail":0,"over":1.0}"#)]
#[case::out_of_range(r#"{"t":"demand","id":1,"lane":"look","count":1e30,"fail":0,"over":1.0}"#)]
#[case::negative(r#"{"t":"ack","id":-1,"seq":4,"ms":1.0}"#)]
#[case::unknown_kind(r#"{"t":"lease","id":1}"#)]
#[case::no_kind(r#"{"id":1}"#)]
fn what_is_json_but_no_message_is_spoilt(#[case] line: &str) {
    assert!(matches!(read(line.as_bytes()), Err(Unread::Spoilt(_))));
}

#[rstest]
#[case::http(b"GET / HTTP/1.1\r")]
#[case::half(br#"{"t":"probe""#)]
#[case::no_object(b"[1]")]
#[case::bytes(&[0xfd, 0xd9, 0])]
fn what_is_not_json_is_noise(#[case] line: &[u8]) {
    assert_eq!(read(line), Err(Unread::Noise));
}

#[test]
fn fields_come_in_any_order_and_more_of_them_are_read_over() {
    let said = read(br#"{"new":true,"rps":0.5,"site":"a\u0062","more":[1],"id":7,"t":"hello"}"#).unwrap();
    assert_eq!(said, Said::Hello { id: 7, site: "ab".into(), rps: 0.5, new: true });
}

#[test]
fn a_line_without_end_is_an_error() {
    let mut lines = Lines::default();
    lines.take(&[b'x'; 8], 8, |_| {}).unwrap();
    assert!(lines.take(b"x", 8, |_| {}).is_err());
}

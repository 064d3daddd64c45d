//! Tests of the decoding of lines, messages and HTTP responses: the result does not depend on how received
//! bytes are split, and invalid bytes only cause errors.

use proptest::prelude::*;
use rstest::rstest;
use shalereel_platform_supervisor::{
    decode_message, DecodeError, HttpResponse, LineFramer, Message, ProxyJoin,
};

/// Splits bytes at these positions, taken modulo their length plus one.
fn pieces<'a>(bytes: &'a [u8], cuts: &[usize]) -> Vec<&'a [u8]> {
    let mut positions: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    positions.extend([0, bytes.len()]);
    positions.sort_unstable();
    positions.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect()
}

proptest! {
    #[test]
    fn framed_lines_do_not_depend_on_how_bytes_are_split(
        bytes in proptest::collection::vec(prop_oneof![Just(b'\n'), any::<u8>()], 0..200),
        cuts in proptest::collection::vec(any::<usize>(), 0..20),
    ) {
        let mut framer = LineFramer::default();
        let mut framed = Vec::new();
        for piece in pieces(&bytes, &cuts) {
            framer.push(piece, 300, |line| {
                let _ = decode_message(line);
                framed.push(line.to_vec());
            }).unwrap();
        }
        let mut expected: Vec<&[u8]> = bytes.split(|byte| *byte == b'\n').collect();
        prop_assert_eq!(framer.buffered_bytes(), expected.pop().unwrap_or_default().len());
        prop_assert_eq!(framed, expected);
    }

    #[test]
    fn http_response_does_not_depend_on_how_bytes_are_split(
        chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 1..40), 0..6),
        cuts in proptest::collection::vec(any::<usize>(), 0..20),
    ) {
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for chunk in &chunks {
            bytes.extend(format!("{:x}\r\n", chunk.len()).bytes().chain(chunk.iter().copied()).chain(*b"\r\n"));
        }
        bytes.extend(b"0\r\n\r\n");
        let mut response = HttpResponse::default();
        let mut body = Vec::new();
        for piece in pieces(&bytes, &cuts) {
            response.push(piece, &mut body).unwrap();
        }
        prop_assert!(response.is_complete());
        prop_assert_eq!((response.status(), body), (Some(200), chunks.concat()));
    }

    #[test]
    fn arbitrary_bytes_of_an_http_response_cause_at_most_an_error(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        head in prop_oneof![Just(""), Just("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"),
            Just("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n")],
    ) {
        let mut response = HttpResponse::default();
        let mut body = Vec::new();
        let _ = response.push(head.as_bytes(), &mut body).and_then(|()| response.push(&bytes, &mut body));
        prop_assert!(body.len() <= bytes.len());
    }
}

#[rstest]
#[case::fields_missing(r#"{"t":"demand","id":1,"lane":"look","count":2,"fail":0}"#)]
#[case::another_type(r#"{"t":"demand","id":1,"lane":[1],"count":2,"fail":0,"over":1.0}"#)]
#[case::out_of_range(r#"{"t":"demand","id":1,"lane":"look","count":1e30,"fail":0,"over":1.0}"#)]
#[case::negative(r#"{"t":"ack","id":-1,"seq":4,"ms":1.0}"#)]
#[case::unknown_kind(r#"{"t":"lease","id":1}"#)]
#[case::kind_missing(r#"{"id":1}"#)]
fn json_that_is_not_a_message_is_rejected_as_an_invalid_message(#[case] line: &str) {
    assert!(matches!(decode_message(line.as_bytes()), Err(DecodeError::InvalidMessage(_))));
}

#[rstest]
#[case::http(b"GET / HTTP/1.1\r")]
#[case::incomplete(br#"{"t":"probe""#)]
#[case::not_an_object(b"[1]")]
#[case::bytes(&[0xfd, 0xd9, 0])]
fn lines_that_are_not_json_objects_are_rejected_as_malformed_json(#[case] line: &[u8]) {
    assert_eq!(decode_message(line), Err(DecodeError::MalformedJson));
}

#[test]
fn fields_may_come_in_any_order_and_unknown_ones_are_ignored() {
    let message =
        decode_message(br#"{"new":true,"rps":0.5,"site":"a\u0062","more":[1],"id":7,"t":"hello"}"#).unwrap();
    let join = ProxyJoin { proxy: 7, locality: "ab".into(), requests_per_s: 0.5, is_new: true };
    assert_eq!(message, Message::ProxyJoin(join));
}

#[test]
fn line_beyond_the_length_limit_is_rejected() {
    let mut framer = LineFramer::default();
    framer.push(&[b'x'; 8], 8, |_| {}).unwrap();
    assert!(framer.push(b"x", 8, |_| {}).is_err());
}

/// Guards against lines of very many short fields that take many times their length in memory.
#[test]
fn report_with_very_many_load_values_keeps_a_bounded_number() {
    let fields: Vec<String> = (0..50_000).map(|column| format!("\"{column:05}\":1")).collect();
    let line = format!(
        r#"{{"t":"outcomes","site":"north","target":"s1","count":1,"fail":0,"mean":1,"over":1000,"util":{{{}}}}}"#,
        fields.join(",")
    );
    let Ok(Message::EndpointReport(report)) = decode_message(line.as_bytes()) else { panic!("not decoded") };
    let load = report.load.unwrap();
    assert_eq!((load.len(), load.first_key_value()), (256, Some((&"00000".to_owned(), &1.0))));
}

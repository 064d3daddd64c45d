//! Framing of gRPC messages.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shalereel_rpc::{frame, FrameError, Framer};

#[test]
fn message_is_framed_as_specified_and_invalid_prefixes_are_rejected() {
    assert_eq!(&frame(b"abc")[..], [0, 0, 0, 0, 3, b'a', b'b', b'c']);
    let cases: [(&[u8], FrameError); 3] = [
        (&[1, 0, 0, 0, 0], FrameError::Compressed),
        (&[7], FrameError::Flag(7)),
        (&[0, 0, 0, 1, 0], FrameError::TooLong { size: 256, limit: 255 }),
    ];
    for (bytes, error) in cases {
        let mut framer = Framer::new(255);
        framer.push(bytes);
        assert_eq!(framer.take(), Err(error));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(10), ..ProptestConfig::default() })]
    #[test]
    fn messages_are_decoded_from_chunks_of_any_size(
        messages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        chunk_bytes in 1_usize..17,
    ) {
        let bytes: Vec<u8> = messages.iter().flat_map(|message| frame(message)).collect();
        let mut framer = Framer::new(64);
        let mut decoded = Vec::new();
        for chunk in bytes.chunks(chunk_bytes) {
            framer.push(chunk);
            while let Some(message) = framer.take().unwrap() {
                decoded.push(message.to_vec());
            }
        }
        prop_assert_eq!(decoded, messages);
        prop_assert_eq!(framer.finish(), Ok(()));
    }
}

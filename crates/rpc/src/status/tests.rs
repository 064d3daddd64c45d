//! The encoding of a status as trailers.

use super::*;

#[test]
fn status_with_any_characters_in_its_message_is_decoded_unchanged() {
    let status = Status::new(Code::NotFound, "no table \"æ\" 100%\n");
    assert_eq!(Status::from_headers(&status.trailers()), Some(status));
    assert_eq!(Status::from_headers(&HeaderMap::new()), None);
}

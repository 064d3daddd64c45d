//! The status of a call as headers.

use super::*;

#[test]
fn message_of_any_characters_is_read_back() {
    let status = Status::new(Code::NotFound, "no table \"æ\" 100%\n");
    assert_eq!(Status::read(&status.trailers()), Some(status));
    assert_eq!(Status::read(&HeaderMap::new()), None);
}

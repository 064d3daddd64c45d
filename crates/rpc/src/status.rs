use std::fmt;

use http::{HeaderMap, HeaderValue};

/// The codes of gRPC that this program gives or tells apart; others are `Unknown`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    Ok = 0,
    Cancelled = 1,
    Unknown = 2,
    InvalidArgument = 3,
    DeadlineExceeded = 4,
    NotFound = 5,
    PermissionDenied = 7,
    ResourceExhausted = 8,
    FailedPrecondition = 9,
    Unimplemented = 12,
    Internal = 13,
    Unavailable = 14,
}

impl Code {
    fn read(number: u16) -> Code {
        use Code::*;
        let known = [
            Ok,
            Cancelled,
            InvalidArgument,
            DeadlineExceeded,
            NotFound,
            PermissionDenied,
            ResourceExhausted,
            FailedPrecondition,
            Unimplemented,
            Internal,
            Unavailable,
        ];
        known.into_iter().find(|&code| code as u16 == number).unwrap_or(Unknown)
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub code: Code,
    pub text: String,
}

impl Status {
    pub const OK: Status = Status { code: Code::Ok, text: String::new() };

    pub fn new(code: Code, text: impl Into<String>) -> Self {
        Status { code, text: text.into() }
    }

    /// The trailers that carry it; the text percent-encoded as the gRPC protocol page asks.
    pub(crate) fn trailers(&self) -> HeaderMap {
        let mut trailers = HeaderMap::new();
        trailers.insert("grpc-status", HeaderValue::from(self.code as u16));
        if !self.text.is_empty() {
            let mut text = String::new();
            for byte in self.text.bytes() {
                match byte {
                    b' '..=b'~' if byte != b'%' => text.push(byte.into()),
                    other => text.push_str(&format!("%{other:02X}")),
                }
            }
            trailers.extend(
                HeaderValue::from_str(&text)
                    .ok()
                    .map(|text| (http::HeaderName::from_static("grpc-message"), text)),
            );
        }
        trailers
    }

    /// Nothing where the block has no status: then trailers are still to come.
    pub(crate) fn read(block: &HeaderMap) -> Option<Status> {
        let code = block.get("grpc-status")?.to_str().ok()?.parse().ok()?;
        let text = block.get("grpc-message").map_or(&b""[..], HeaderValue::as_bytes);
        Some(Status { code: Code::read(code), text: percent_decoded(text) })
    }
}

fn percent_decoded(text: &[u8]) -> String {
    let mut out = Vec::with_capacity(text.len());
    let mut at = 0;
    while at < text.len() {
        let hex = (text[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        let byte = hex.and_then(|hex| u8::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok());
        out.push(byte.unwrap_or(text[at]));
        at += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.code, self.text)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_text_of_any_letters_comes_back() {
        let status = Status::new(Code::NotFound, "no table \"æ\" 100%\n");
        assert_eq!(Status::read(&status.trailers()), Some(status));
        assert_eq!(Status::read(&HeaderMap::new()), None);
    }
}

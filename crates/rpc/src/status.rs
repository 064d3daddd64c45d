//! The status of a call: gRPC's status codes, and the trailers that carry them.

use std::fmt;

use http::{HeaderMap, HeaderName, HeaderValue};

/// The gRPC status codes that this program sends or distinguishes; others are decoded as `Unknown`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The call succeeded.
    Ok = 0,
    /// The caller cancelled the call.
    Cancelled = 1,
    /// Any other error.
    Unknown = 2,
    /// The request is invalid, whatever the state of the server.
    InvalidArgument = 3,
    /// The call did not end in time.
    DeadlineExceeded = 4,
    /// The requested entity does not exist.
    NotFound = 5,
    /// The caller is not permitted to make the call.
    PermissionDenied = 7,
    /// A resource limit was exceeded.
    ResourceExhausted = 8,
    /// The server is not in the state that the request requires.
    FailedPrecondition = 9,
    /// The server does not implement the method.
    Unimplemented = 12,
    /// An invariant was violated.
    Internal = 13,
    /// The server is currently unavailable.
    Unavailable = 14,
}

impl Code {
    /// The code with this number; `Unknown` if there is none.
    fn from_number(number: u16) -> Code {
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

/// The result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Status code.
    pub code: Code,
    /// Message for people; may be empty.
    pub message: String,
}

impl Status {
    /// The status of a call that succeeded.
    pub const OK: Status = Status { code: Code::Ok, message: String::new() };

    /// Creates a status with a message.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Status { code, message: message.into() }
    }

    /// Encodes the status as trailers. The message is percent-encoded, as gRPC over HTTP/2 requires.
    pub(crate) fn trailers(&self) -> HeaderMap {
        let mut trailers = HeaderMap::new();
        trailers.insert("grpc-status", HeaderValue::from(self.code as u16));
        if !self.message.is_empty() {
            let message = HeaderValue::from_str(&percent_encoded(&self.message)).ok();
            trailers.extend(message.map(|message| (HeaderName::from_static("grpc-message"), message)));
        }
        trailers
    }

    /// Decodes the status in a header block. `None` if it has no valid status; in the headers of a response this means that
    /// trailers follow.
    pub(crate) fn from_headers(headers: &HeaderMap) -> Option<Status> {
        let code = headers.get("grpc-status")?.to_str().ok()?.parse().ok()?;
        let message = headers.get("grpc-message").map_or(&b""[..], HeaderValue::as_bytes);
        Some(Status { code: Code::from_number(code), message: percent_decoded(message) })
    }
}

fn percent_encoded(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        match byte {
            b' '..=b'~' if byte != b'%' => encoded.push(byte.into()),
            other => encoded.push_str(&format!("%{other:02X}")),
        }
    }
    encoded
}

fn percent_decoded(text: &[u8]) -> String {
    let mut decoded = Vec::with_capacity(text.len());
    let mut index = 0;
    while index < text.len() {
        let digits = (text[index] == b'%').then(|| text.get(index + 1..index + 3)).flatten();
        let byte = digits.and_then(|digits| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok());
        decoded.push(byte.unwrap_or(text[index]));
        index += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.code, self.message)
    }
}

#[cfg(test)]
mod tests;

//! The watch of discovery's endpoint list: the HTTP/1.1 request, and its chunked response of one JSON object
//! per line.

use std::net::SocketAddr;

use thiserror::Error;

use crate::http_response::{HttpError, HttpResponse};
use crate::line_framer::{LineFramer, LineTooLong};
use crate::protocol::EndpointList;

/// The request for all changes after a version, or for the full list where there is none.
pub fn watch_request(address: SocketAddr, after_version: Option<u64>) -> Vec<u8> {
    let after = after_version.map(|version| format!("&after={version}")).unwrap_or_default();
    format!("GET /api/targets?watch=1{after} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

/// Why a watch cannot go on.
#[derive(Debug, Error)]
pub enum WatchError {
    /// Discovery rejected the request.
    #[error("discovery answered with status {0}")]
    Status(u16),
    /// A line is no endpoint list.
    #[error("malformed endpoint list: {0}")]
    MalformedList(serde_json::Error),
    /// A line is longer than allowed.
    #[error(transparent)]
    LineTooLong(LineTooLong),
    /// The response is not HTTP.
    #[error(transparent)]
    Http(HttpError),
    /// The response is complete.
    #[error("the watch has ended")]
    Ended,
}

/// What received bytes brought.
#[derive(Debug, Default)]
pub struct WatchProgress {
    /// Lists that are complete now, in order.
    pub lists: Vec<EndpointList>,
    /// Why the watch cannot go on, where it cannot.
    pub error: Option<WatchError>,
}

/// The response to one watch request, read as it comes.
#[derive(Debug, Default)]
pub struct DiscoveryWatch {
    response: HttpResponse,
    lines: LineFramer,
    body: Vec<u8>,
}

impl DiscoveryWatch {
    /// Reads bytes. No list behind a malformed one is given: the change that it lacks would be missing for
    /// good, since the next watch asks for all after the last list given.
    pub fn push(&mut self, bytes: &[u8], max_line_bytes: usize) -> WatchProgress {
        let http_error = self.response.push(bytes, &mut self.body).err();
        if let Some(status) = self.response.status().filter(|&status| status != 200) {
            return WatchProgress { lists: Vec::new(), error: Some(WatchError::Status(status)) };
        }
        let mut lists = Vec::new();
        let mut malformed = None;
        let body = std::mem::take(&mut self.body);
        let too_long = self.lines.push(&body, max_line_bytes, |line| {
            if malformed.is_none() && !line.trim_ascii().is_empty() {
                match serde_json::from_slice(line) {
                    Ok(list) => lists.push(list),
                    Err(error) => malformed = Some(WatchError::MalformedList(error)),
                }
            }
        });
        let error = malformed
            .or(too_long.err().map(WatchError::LineTooLong))
            .or(http_error.map(WatchError::Http))
            .or(self.response.is_complete().then_some(WatchError::Ended));
        WatchProgress { lists, error }
    }
}

//! The watch on discovery's endpoint list: an HTTP/1.1 request with a chunked response that carries one JSON
//! object per line.

use std::net::SocketAddr;

use thiserror::Error;

use crate::http_response::{HttpError, HttpResponse};
use crate::line_framer::{LineFramer, LineTooLong};
use crate::protocol::EndpointList;

/// Returns the request for all changes after a version, or for the full list if `after_version` is `None`.
pub fn watch_request(address: SocketAddr, after_version: Option<u64>) -> Vec<u8> {
    let after = after_version.map(|version| format!("&after={version}")).unwrap_or_default();
    format!("GET /api/targets?watch=1{after} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

/// Why a watch must be closed.
#[derive(Debug, Error)]
pub enum WatchError {
    /// Discovery rejected the request with this HTTP status.
    #[error("discovery responded with HTTP status {0}")]
    Status(u16),
    /// A line is not a valid endpoint list.
    #[error("malformed endpoint list: {0}")]
    MalformedList(serde_json::Error),
    /// A line exceeds the length limit.
    #[error(transparent)]
    LineTooLong(LineTooLong),
    /// The response is not valid HTTP/1.1.
    #[error(transparent)]
    Http(HttpError),
    /// Discovery ended the response.
    #[error("discovery ended the response of the watch")]
    Ended,
}

/// The result of reading a piece of the response.
#[derive(Debug, Default)]
pub struct WatchProgress {
    /// The lists that the bytes completed, in order.
    pub lists: Vec<EndpointList>,
    /// Why the watch must be closed, if it must.
    pub error: Option<WatchError>,
}

/// An incremental reader for the response to one watch request.
#[derive(Debug, Default)]
pub struct DiscoveryWatch {
    response: HttpResponse,
    lines: LineFramer,
    body: Vec<u8>,
}

impl DiscoveryWatch {
    /// Reads received bytes. Lists after a malformed one are discarded. If they were returned, the next
    /// watch would request only the changes after them, and those of the malformed list would be lost for good.
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

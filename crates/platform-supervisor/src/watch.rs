//! The watch on discovery's list, as a client of HTTP/1.1: one JSON object a line in a chunked answer without end.

use std::net::SocketAddr;

use shalereel::interface::Nanos;

use crate::http::Answer;
use crate::lines::Lines;
use crate::words::List;

/// The request for what changed after a version; nothing: the whole list.
pub fn request(address: SocketAddr, after: Option<u64>) -> Vec<u8> {
    let after = after.map(|version| format!("&after={version}")).unwrap_or_default();
    format!("GET /api/targets?watch=1{after} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

/// One answer as it comes.
#[derive(Debug)]
pub struct Watch {
    answer: Answer,
    lines: Lines,
    body: Vec<u8>,
    pub heard: Nanos,
}

impl Watch {
    pub fn new(now: Nanos) -> Self {
        Watch { answer: Answer::default(), lines: Lines::default(), body: Vec::new(), heard: now }
    }

    /// The lists that these bytes end, and why the watch is of no further use, where it is. Nothing is read past
    /// a fault: a change left out there would be missing for good, since the version moves on. What is dialled
    /// next asks for all after the last list that was read.
    pub fn take(&mut self, bytes: &[u8], most: usize, now: Nanos) -> (Vec<List>, Option<String>) {
        self.heard = now;
        let read = self.answer.take(bytes, &mut self.body).map_err(|error| error.to_string());
        if let Some(status) = self.answer.status().filter(|&status| status != 200) {
            return (Vec::new(), Some(format!("discovery answers with status {status}")));
        }
        let (mut lists, mut fault) = (Vec::new(), None);
        let body = std::mem::take(&mut self.body);
        let lines = self.lines.take(&body, most, |line| {
            if fault.is_none() && !line.trim_ascii().is_empty() {
                match serde_json::from_slice(line) {
                    Ok(list) => lists.push(list),
                    Err(error) => fault = Some(format!("a list that cannot be read: {error}")),
                }
            }
        });
        let over = self.answer.is_over().then(|| "the watch has ended".to_owned());
        (lists, fault.or(lines.err().map(|error| error.to_string())).or(read.err()).or(over))
    }
}

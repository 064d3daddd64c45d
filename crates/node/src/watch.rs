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

    /// The lists that these bytes end. Errors: the watch is of no further use.
    pub fn take(&mut self, bytes: &[u8], most: usize, now: Nanos) -> Result<Vec<List>, String> {
        self.heard = now;
        self.answer.take(bytes, &mut self.body).map_err(|error| error.to_string())?;
        match self.answer.status() {
            None | Some(200) => {}
            Some(status) => return Err(format!("discovery answers with status {status}")),
        }
        let (mut lists, mut fault) = (Vec::new(), None);
        let body = std::mem::take(&mut self.body);
        let read = self.lines.take(&body, most, |line| {
            if fault.is_none() && !line.trim_ascii().is_empty() {
                match serde_json::from_slice(line) {
                    Ok(list) => lists.push(list),
                    Err(error) => fault = Some(format!("a list that cannot be read: {error}")),
                }
            }
        });
        // What came before the fault counts; the fault shows again with the next bytes, or as silence.
        match (read, fault) {
            (Ok(()), None) if self.answer.is_over() && lists.is_empty() => Err("the watch has ended".into()),
            (Ok(()), None) => Ok(lists),
            (_, Some(fault)) if lists.is_empty() => Err(fault),
            (Err(error), None) if lists.is_empty() => Err(error.to_string()),
            _ => Ok(lists),
        }
    }
}

//! A forwarder's side of key ranges: what it may use, and until when. Small on purpose: a plain proxy does no more.

use std::collections::BTreeMap;

use shalereel::interface::Nanos;

use crate::leases::RangeRoute;
use crate::wire::Epoch;

/// Lines of key ranges as one forwarder holds them.
#[derive(Clone, Debug, Default)]
pub struct LeaseClient {
    routes: BTreeMap<u32, (RangeRoute, Nanos)>,
    /// The highest epoch that it ever took of each range: there is no way back to an earlier one.
    highest_epochs: BTreeMap<u32, Epoch>,
    last_response_read: u64,
    unfenced: bool,
}

impl LeaseClient {
    /// `unfenced`: a planted fault, earlier epochs are taken too; false in service.
    pub fn new(unfenced: bool) -> Self {
        LeaseClient { unfenced, ..LeaseClient::default() }
    }

    /// What goes into a question: the last answer read on this stream, and all that it holds.
    pub fn request(&mut self, now: Nanos) -> (u64, Vec<(u32, Epoch)>) {
        self.routes.retain(|_, (_, until)| *until > now);
        (self.last_response_read, self.routes.values().map(|(line, _)| (line.range, line.epoch)).collect())
    }

    /// Another stream: numbers of answers begin anew. Lines live on until they end.
    pub fn stream_reopened(&mut self) {
        self.last_response_read = 0;
    }

    /// An answer to what was asked at `asked`, with the tenure that it grants; or, unasked, what still stands. Gives
    /// whether lines were taken away: then it asks again at once, so that others need not wait.
    pub fn handle_response(
        &mut self,
        number: u64,
        asked: Option<(Nanos, Nanos)>,
        lines: Option<&[RangeRoute]>,
    ) -> bool {
        self.last_response_read = number;
        let Some(lines) = lines else { return false };
        let told: BTreeMap<u32, RangeRoute> = lines.iter().map(|line| (line.range, *line)).collect();
        let before = self.routes.len();
        self.routes.retain(|range, (held, _)| told.get(range) == Some(held));
        let taken = self.routes.len() < before;
        if let Some((asked, tenure)) = asked {
            for (range, line) in told {
                let highest = self.highest_epochs.entry(range).or_default();
                if line.epoch < *highest && !self.unfenced {
                    continue;
                }
                *highest = line.epoch;
                self.routes.insert(range, (line, asked + tenure));
            }
        }
        taken
    }

    /// Where invocations of a range go now; nowhere while it has no owner that this one may use.
    pub fn route(&self, now: Nanos, range: u32) -> Option<RangeRoute> {
        self.routes.get(&range).filter(|(_, until)| now < *until).map(|(line, _)| *line)
    }
}

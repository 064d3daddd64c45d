//! A forwarder's side of key ranges: what it may use, and until when. Small on purpose: a plain proxy does no more.

use std::collections::BTreeMap;

use shalereel::interface::Nanos;

use crate::leases::RangeLine;
use crate::wire::Epoch;

/// Lines of key ranges as one forwarder holds them.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    lines: BTreeMap<u32, (RangeLine, Nanos)>,
    /// The highest epoch that it ever took of each range: there is no way back to an earlier one.
    highest: BTreeMap<u32, Epoch>,
    seen: u64,
    unfenced: bool,
}

impl Tenant {
    /// `unfenced`: a planted fault, earlier epochs are taken too; false in service.
    pub fn new(unfenced: bool) -> Self {
        Tenant { unfenced, ..Tenant::default() }
    }

    /// What goes into a question: the last answer read on this stream, and all that it holds.
    pub fn asks(&mut self, now: Nanos) -> (u64, Vec<(u32, Epoch)>) {
        self.lines.retain(|_, (_, until)| *until > now);
        (self.seen, self.lines.values().map(|(line, _)| (line.range, line.epoch)).collect())
    }

    /// Another stream: numbers of answers begin anew. Lines live on until they end.
    pub fn reopened(&mut self) {
        self.seen = 0;
    }

    /// An answer to what was asked at `asked`, with the tenure that it grants; or, unasked, what still stands. Gives
    /// whether lines were taken away: then it asks again at once, so that others need not wait.
    pub fn answered(
        &mut self,
        number: u64,
        asked: Option<(Nanos, Nanos)>,
        lines: Option<&[RangeLine]>,
    ) -> bool {
        self.seen = number;
        let Some(lines) = lines else { return false };
        let told: BTreeMap<u32, RangeLine> = lines.iter().map(|line| (line.range, *line)).collect();
        let before = self.lines.len();
        self.lines.retain(|range, (held, _)| told.get(range) == Some(held));
        let taken = self.lines.len() < before;
        if let Some((asked, tenure)) = asked {
            for (range, line) in told {
                let highest = self.highest.entry(range).or_default();
                if line.epoch < *highest && !self.unfenced {
                    continue;
                }
                *highest = line.epoch;
                self.lines.insert(range, (line, asked + tenure));
            }
        }
        taken
    }

    /// Where invocations of a range go now; nowhere while it has no owner that this one may use.
    pub fn line(&self, now: Nanos, range: u32) -> Option<RangeLine> {
        self.lines.get(&range).filter(|(_, until)| now < *until).map(|(line, _)| *line)
    }
}

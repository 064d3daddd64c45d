//! How old a server is taken for, when the wall clock may have been stepped. Decided here, free of I/O and clock.

use shalereel::interface::Nanos;

/// The protocol's bound on how late discovery tells.
const TOLD_WITHIN: Nanos = 6 * 1_000_000_000;

/// What is known of the time when a server is listed.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// Unix time by the wall clock as it is, and as it was at the first list with the monotonic time since.
    pub unix_ms: f64,
    pub unix_by_first_ms: f64,
    /// How long ago discovery was heard before, if it was: what has started since cannot be older.
    pub since_heard: Option<Nanos>,
}

/// Age of a server that started then, in Unix time; none where it started long ago. Where the wall clock was stepped
/// nobody knows which of its times is right: the younger age is taken. A server taken for colder than it is gets less
/// for a while; one taken for warmer falls over.
pub fn age(started_ms: f64, evidence: &Evidence) -> Option<Nanos> {
    if started_ms <= 0.0 {
        return None;
    }
    let unix_ms = evidence.unix_ms.min(evidence.unix_by_first_ms);
    let age = ((unix_ms - started_ms).max(0.0) * 1e6) as Nanos;
    let oldest = evidence.since_heard.map(|since| since + TOLD_WITHIN);
    Some(age.min(oldest.unwrap_or(Nanos::MAX)))
}

//! How old a server is taken for, also when the wall clock has been stepped. The server registry asks it.

use shalereel::interface::Nanos;

/// The protocol's bound on how late discovery notifies of a change.
const MAX_NOTIFICATION_DELAY: Nanos = 6 * 1_000_000_000;

/// What is known of the time at which a server is listed.
#[derive(Clone, Copy, Debug)]
pub struct AgeEvidence {
    /// Unix time by the wall clock as it is now, ms.
    pub unix_ms: f64,
    /// Unix time by the wall clock as it was at the first list and the monotonic time since, ms.
    pub unix_by_first_list_ms: f64,
    /// Time since discovery was heard before, if it was.
    pub since_heard: Option<Nanos>,
}

/// Age of a server that started at `started_ms` (Unix time); none where it started long ago.
///
/// Where the wall clock was stepped, either of its times may be the right one: the younger age counts. A
/// server taken for younger than it is gets less load for a while; one taken for older would be overloaded.
/// No server is older than the time since discovery was heard before, since it would have been listed then.
pub fn server_age(started_ms: f64, evidence: &AgeEvidence) -> Option<Nanos> {
    if started_ms <= 0.0 {
        return None;
    }
    let unix_ms = evidence.unix_ms.min(evidence.unix_by_first_list_ms);
    let age = ((unix_ms - started_ms).max(0.0) * 1e6) as Nanos;
    let max_age = evidence.since_heard.map(|since| since + MAX_NOTIFICATION_DELAY);
    Some(age.min(max_age.unwrap_or(Nanos::MAX)))
}

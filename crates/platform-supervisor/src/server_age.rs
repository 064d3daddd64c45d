//! Estimates a server's age from its listed start time. The estimate stays bounded if the wall clock is
//! stepped. The server registry uses it.

use shalereel::interface::Nanos;

/// Maximum delay, by the protocol, between a change and discovery's notification of it.
const MAX_NOTIFICATION_DELAY: Nanos = 6 * 1_000_000_000;

/// The times that bound the age of a server when it is listed.
#[derive(Clone, Copy, Debug)]
pub struct ListingTime {
    /// Unix time by the wall clock as it is now, ms.
    pub unix_ms: f64,
    /// Unix time computed from the wall clock at the first list plus the monotonic time since then, ms.
    pub unix_by_first_list_ms: f64,
    /// Time since discovery last sent anything before this list; `None` if it never has.
    pub since_last_heard: Option<Nanos>,
}

/// Returns the age of a server that started at `started_ms` (Unix time), or `None` if it started long ago.
///
/// After a step of the wall clock, either Unix time in `listed_at` may be the right one, so the smaller age
/// is used. A server whose age is underestimated gets less load for a while; one whose age is overestimated
/// would be overloaded. The age is at most the time since discovery last sent anything plus the notification
/// delay: discovery would already have listed a server that started earlier.
pub fn server_age(started_ms: f64, listed_at: &ListingTime) -> Option<Nanos> {
    if started_ms <= 0.0 {
        return None;
    }
    let unix_ms = listed_at.unix_ms.min(listed_at.unix_by_first_list_ms);
    let age = ((unix_ms - started_ms).max(0.0) * 1e6) as Nanos;
    let max_age = listed_at.since_last_heard.map(|since| since + MAX_NOTIFICATION_DELAY);
    Some(age.min(max_age.unwrap_or(Nanos::MAX)))
}

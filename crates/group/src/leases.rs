//! Who may still use a key range that the group has withdrawn. Decisions, free of I/O and clocks.
//!
//! Rights form a chain, and each is counted from the request, by the clock of whoever requested it, so that a pause
//! or a slow message ends a right earlier and never later:
//! - a forwarder may use a route for a tenure after its request ([`LeaseClient`]);
//! - a member grants routes only while its own lease from the leader is valid ([`MemberLease`], [`RangeGrantor`]);
//! - the leader grants leases only while a quorum acknowledges it ([`LeaseTable`]).

mod client;
mod grantor;
mod member_lease;
mod route;
mod table;

pub use client::LeaseClient;
pub use grantor::RangeGrantor;
pub use member_lease::MemberLease;
pub use route::{RangeRoute, RouteRequest, RouteResponse, RouteTenure};
pub use table::LeaseTable;

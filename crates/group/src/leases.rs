//! Leases of key ranges, which ensure that a withdrawn range is no longer used before it is assigned to a new owner.
//! Performs no I/O and reads no clock.
//!
//! There is a chain of time-limited rights. Each holder counts its right from when it sent the request, by its own
//! clock, so that a pause or a slow message shortens the right and never extends it:
//! - a forwarder may use a route for one tenure after its request ([`LeaseClient`]);
//! - a member grants routes only while its own lease from the leader is valid ([`MemberLease`], [`RangeGrantor`]);
//! - the leader grants leases only while a quorum acknowledges its heartbeats ([`LeaseTable`]).

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

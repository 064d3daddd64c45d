//! Versioned weight tables, free of I/O and clock: what changed from one version to the next and why, a digest that is
//! updated line by line, deltas between any two versions, and the rollback to an earlier one. `docs/tables.md` describes the
//! design.
//!
//! Called by `shalereeld` (`crates/xds-supervisor`): [`Store`] holds the tables, [`Subscription`] records what one proxy was
//! sent of one table, and [`WeightConstraints`] applies the operators' caps and rollbacks to the controller's weights.
//! [`Replica`] with its [`ResyncBackoff`] is the proxy's side of a table, used by the forwarders in `crates/standins`.

#![deny(missing_docs)]

mod codec;
mod constraints;
mod delivery;
mod delta;
mod digest;
mod history;
mod line;
mod load;
mod replica;
mod resync;
mod retention;
mod rollback;
mod store;
mod subscription;
mod version;

pub use codec::{StoreError, MAGIC};
pub use constraints::{lowest_factors, ConstraintError, WeightCap, WeightConstraints};
pub use delivery::DeliveryPolicy;
pub use delta::Delta;
pub use digest::{Check, Digest, Salt};
pub use history::ChangesSince;
pub use line::{Line, Lines, UNIT_WEIGHT};
pub use replica::{DeltaOutcome, Replica};
pub use resync::ResyncBackoff;
pub use retention::RetentionLimits;
pub use rollback::{plan_rollback, CurrentEndpoint, Rollback, RollbackPlan, SkipReason};
pub use store::{FileWrite, HistorySize, Store};
pub use subscription::{Subscription, Unacknowledged};
pub use version::{LineChange, Provenance, Version, VersionNumber};

//! A day from a script on real sockets and real processes, judged by its traffic alone.

mod bench;
mod control;
mod day;
mod judge;
mod play;
mod report;
mod stage;

pub use bench::from_bench;
pub use control::{order_at, release, standing, tables_at, way_back};
pub use day::{Day, Trouble, TroubleKind};
pub use judge::{judge, Breach, Measure, Rule, Traffic, Verdict, Window};
pub use play::play;
pub use report::{as_json, as_text};
pub use stage::{Stage, Staged};

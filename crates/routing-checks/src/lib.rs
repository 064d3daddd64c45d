//! What operators expect of routing, beside their configuration: read from TOML, and run without any traffic against a
//! captured table and against fleets of many sizes and shapes, through the real decisions. `docs/expect.md` has the design.

mod expectation;
mod fleet;
mod search;

pub use expectation::{read_expectations, Expectation, Expectations, Group};
pub use fleet::{captured, Seen, Shape, View};
pub use search::{run, Broken, Contradiction, Outcome};

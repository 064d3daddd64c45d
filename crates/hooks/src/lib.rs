//! A small scripting language for operators' hooks, free of I/O: numbers with units, texts, lists and records, functions
//! without recursion, loops over lists alone. `docs/hooks-language.md` has grammar and semantics.
//!
//! [`parse`] reads a source and tells all that is wrong with its words; [`compile`] infers types and units, tells all that
//! does not fit a [`HookPoint`], and gives a [`Program`]; [`Program::call`] runs it within [`Limits`], the same on every machine.

mod check;
mod format;
mod lex;
mod machine;
mod parse;
mod points;
mod syntax;
mod types;

pub use check::{compile, HookPoint, Program};
pub use format::format;
pub use machine::{Fault, FaultKind, Limits, Usage, Value};
pub use parse::parse;
pub use points::{hook_points, server_type};
pub use syntax::{Diagnostic, SourceFile};
pub use types::{Type, Unit};

#[cfg(test)]
mod tests;

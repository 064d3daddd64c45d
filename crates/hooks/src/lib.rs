//! A small scripting language for operators' hooks, free of I/O: numbers with units, strings, lists and records,
//! functions without recursion, and loops over lists only. `docs/hooks-language.md` has the grammar and the semantics.
//!
//! [`parse`] returns the syntax tree of a source, or its syntax errors; [`compile`] infers types and units, reports what
//! doesn't match a [`HookPoint`], and returns a [`Program`]; [`Program::call`] runs a hook within [`Limits`], with the
//! same result on every machine.

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

//! The syntax tree of a source file, and the diagnostics of the parser and the type checker.

use std::fmt;

use crate::types::Unit;

/// A position in a source; line and column count from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub line: u32,
    pub column: u32,
}

/// An error in a source, with its position and a hint for the correction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    pub position: Position,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub hint: String,
    /// The source line at `position`, cut to 120 characters.
    pub source_line: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Diagnostic { position, message, hint, source_line } = self;
        write!(f, "{}:{}: {message}; {hint}\n    {source_line}", position.line, position.column)
    }
}

/// Returns a diagnostic whose source line [`finish_diagnostics`] fills in.
pub(crate) fn diagnostic(position: Position, message: impl Into<String>, hint: &str) -> Diagnostic {
    Diagnostic { position, message: message.into(), hint: hint.to_owned(), source_line: String::new() }
}

/// Precedence levels; a higher one binds more tightly.
pub(crate) mod precedence {
    /// Any expression.
    pub(crate) const LOWEST: u8 = 0;
    pub(crate) const OR: u8 = 1;
    pub(crate) const AND: u8 = 2;
    pub(crate) const COMPARISON: u8 = 3;
    pub(crate) const ADDITIVE: u8 = 4;
    pub(crate) const MULTIPLICATIVE: u8 = 5;
    pub(crate) const NEGATION: u8 = 8;
    pub(crate) const FIELD_ACCESS: u8 = 9;
}

/// An operator with two operands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BinaryOperator {
    Or,
    And,
    Equal,
    NotEqual,
    Less,
    LessEqual,
    Greater,
    GreaterEqual,
    Add,
    Subtract,
    Multiply,
    Divide,
}

impl BinaryOperator {
    /// The operator as a source has it.
    pub(crate) fn symbol(self) -> &'static str {
        match self {
            BinaryOperator::Or => "or",
            BinaryOperator::And => "and",
            BinaryOperator::Equal => "==",
            BinaryOperator::NotEqual => "!=",
            BinaryOperator::Less => "<",
            BinaryOperator::LessEqual => "<=",
            BinaryOperator::Greater => ">",
            BinaryOperator::GreaterEqual => ">=",
            BinaryOperator::Add => "+",
            BinaryOperator::Subtract => "-",
            BinaryOperator::Multiply => "*",
            BinaryOperator::Divide => "/",
        }
    }

    /// The level in [`precedence`].
    pub(crate) fn precedence(self) -> u8 {
        match self {
            BinaryOperator::Or => precedence::OR,
            BinaryOperator::And => precedence::AND,
            BinaryOperator::Add | BinaryOperator::Subtract => precedence::ADDITIVE,
            BinaryOperator::Multiply | BinaryOperator::Divide => precedence::MULTIPLICATIVE,
            _ => precedence::COMPARISON,
        }
    }
}

/// The kinds of expressions, with their operands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ExpressionKind {
    /// The number as written, its unit, and the unit's suffix, which is empty for a number without a unit.
    Number(f64, Unit, &'static str),
    String(String),
    Boolean(bool),
    Name(String),
    List(Vec<Expression>),
    /// Field names and values in source order.
    Record(Vec<(String, Expression)>),
    /// Access to a field of a record by name.
    Field(Box<Expression>, String),
    /// Call of a function by name, with its arguments.
    Call(String, Vec<Expression>),
    Not(Box<Expression>),
    Negate(Box<Expression>),
    Binary(BinaryOperator, Box<Expression>, Box<Expression>),
    /// Condition, then-block and else-block.
    If(Box<Expression>, Box<Block>, Box<Block>),
    /// Matched value, arms with a literal number, string or Boolean as pattern, and the default arm `_`.
    Match(Box<Expression>, Vec<(Expression, Block)>, Box<Block>),
    /// `for item in list with accumulator = initial { body }`: the accumulator after the last item.
    Fold {
        item: String,
        list: Box<Expression>,
        accumulator: String,
        initial: Box<Expression>,
        body: Box<Block>,
    },
    /// `[element for item in list if filter]`.
    ListComprehension {
        element: Box<Expression>,
        item: String,
        list: Box<Expression>,
        filter: Option<Box<Expression>>,
    },
}

/// An expression, with the position that its diagnostics and faults name.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Expression {
    pub position: Position,
    pub kind: ExpressionKind,
}

/// `let` bindings followed by the block's value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Block {
    /// Position, name, value, and comments before each `let`.
    pub lets: Vec<(Position, String, Expression, Vec<String>)>,
    pub value: Expression,
    /// Comments before the value.
    pub comments: Vec<String>,
}

/// A function or a hook.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Function {
    pub position: Position,
    pub name: String,
    pub parameters: Vec<String>,
    pub body: Block,
    /// Comments before the function.
    pub comments: Vec<String>,
}

/// A parsed source.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SourceFile {
    pub(crate) functions: Vec<Function>,
    pub(crate) hooks: Vec<Function>,
    /// Position, name, and body of each test, which must evaluate to true, and the comments before it.
    pub(crate) tests: Vec<(Position, String, Block, Vec<String>)>,
    /// Comments at the end.
    pub(crate) comments: Vec<String>,
    pub(crate) text: String,
}

/// Sorts diagnostics by position, removes duplicates, and fills in their source lines.
pub(crate) fn finish_diagnostics(diagnostics: &mut Vec<Diagnostic>, text: &str) {
    diagnostics.sort_by(|a, b| a.position.cmp(&b.position).then(a.message.cmp(&b.message)));
    diagnostics.dedup();
    let lines: Vec<&str> = text.lines().collect();
    for diagnostic in diagnostics {
        let line = lines.get(diagnostic.position.line as usize - 1).copied().unwrap_or_default();
        diagnostic.source_line = line.chars().take(MAX_SOURCE_LINE_CHARS).collect();
    }
}

/// Characters of a source line that a diagnostic quotes.
const MAX_SOURCE_LINE_CHARS: usize = 120;

//! What a source is made of, and what can be wrong with it.

use std::fmt;

use crate::types::Unit;

/// A position in a source: line and column, from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub line: u32,
    pub column: u32,
}

/// Something wrong with a source, where, and what would help.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    pub position: Position,
    pub message: String,
    pub hint: String,
    /// The line that it stands on.
    pub source_line: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Diagnostic { position, message, hint, source_line } = self;
        write!(f, "{}:{}: {message}; {hint}\n    {source_line}", position.line, position.column)
    }
}

pub(crate) fn diagnostic(position: Position, message: impl Into<String>, hint: &str) -> Diagnostic {
    Diagnostic { position, message: message.into(), hint: hint.to_owned(), source_line: String::new() }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Binary {
    Or,
    And,
    Equal,
    Differs,
    Less,
    LessEqual,
    More,
    MoreEqual,
    Add,
    Subtract,
    Multiply,
    Divide,
}

impl Binary {
    pub(crate) fn text(self) -> &'static str {
        match self {
            Binary::Or => "or",
            Binary::And => "and",
            Binary::Equal => "==",
            Binary::Differs => "!=",
            Binary::Less => "<",
            Binary::LessEqual => "<=",
            Binary::More => ">",
            Binary::MoreEqual => ">=",
            Binary::Add => "+",
            Binary::Subtract => "-",
            Binary::Multiply => "*",
            Binary::Divide => "/",
        }
    }

    /// What binds more tightly has a higher one.
    pub(crate) fn level(self) -> u8 {
        match self {
            Binary::Or => 1,
            Binary::And => 2,
            Binary::Add | Binary::Subtract => 4,
            Binary::Multiply | Binary::Divide => 5,
            _ => 3,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Kind {
    /// The number as written, its unit, and the unit's word.
    Number(f64, Unit, &'static str),
    String(String),
    Boolean(bool),
    Name(String),
    List(Vec<Node>),
    Record(Vec<(String, Node)>),
    Field(Box<Node>, String),
    Call(String, Vec<Node>),
    Not(Box<Node>),
    Minus(Box<Node>),
    Binary(Binary, Box<Node>, Box<Node>),
    If(Box<Node>, Box<Block>, Box<Block>),
    /// Arms by text, number or truth; the last one, without a pattern, takes the rest.
    Match(Box<Node>, Vec<(Node, Block)>, Box<Block>),
    /// `for item in list with sum = start { next }`: the sum after the last item.
    Fold {
        item: String,
        list: Box<Node>,
        sum: String,
        start: Box<Node>,
        next: Box<Block>,
    },
    /// `[next for item in list if filter]`.
    Each {
        next: Box<Node>,
        item: String,
        list: Box<Node>,
        filter: Option<Box<Node>>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    pub position: Position,
    pub kind: Kind,
}

/// Names, then what it comes to.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Block {
    pub lets: Vec<(Position, String, Node, Vec<String>)>,
    pub value: Node,
    /// Comments before the value.
    pub comments: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Function {
    pub position: Position,
    pub name: String,
    pub parameters: Vec<String>,
    pub body: Block,
    pub comments: Vec<String>,
}

/// A parsed source.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SourceFile {
    pub(crate) functions: Vec<Function>,
    pub(crate) hooks: Vec<Function>,
    /// Cases: a name, and what must be true.
    pub(crate) tests: Vec<(Position, String, Block, Vec<String>)>,
    /// Comments at the end.
    pub(crate) comments: Vec<String>,
    pub(crate) text: String,
}

/// Puts in order, and beside each the line that it stands on.
pub(crate) fn show(diagnostics: &mut Vec<Diagnostic>, text: &str) {
    diagnostics.sort_by(|a, b| a.position.cmp(&b.position).then(a.message.cmp(&b.message)));
    diagnostics.dedup();
    let lines: Vec<&str> = text.lines().collect();
    for diagnostic in diagnostics {
        let line = lines.get(diagnostic.position.line as usize - 1).copied().unwrap_or_default();
        diagnostic.source_line = line.chars().take(WIDE).collect();
    }
}

/// Letters of a line that are shown.
const WIDE: usize = 120;

//! The lexer: splits a source into tokens.

use crate::syntax::{diagnostic, Diagnostic, Position};
use crate::types::Unit;

/// The kinds of tokens.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TokenKind {
    /// The number as written, its unit, and the unit's suffix, which is empty for a number without a unit.
    Number(f64, Unit, &'static str),
    /// A string literal, with its escapes replaced.
    String(String),
    /// A name that is not a keyword.
    Name(String),
    /// A keyword, operator or punctuation mark.
    Symbol(&'static str),
    /// The end of a line, where it can end an expression.
    Newline,
    EndOfSource,
}

/// A token with its position.
#[derive(Clone, Debug)]
pub(crate) struct Token {
    pub position: Position,
    pub kind: TokenKind,
    /// Comments before the token.
    pub comments: Vec<String>,
}

/// Sources longer than this are rejected: an operator on call at night must be able to read a hook.
pub(crate) const MAX_SOURCE_BYTES: usize = 1 << 20;

const KEYWORDS: [&str; 16] = [
    "let", "if", "else", "match", "for", "in", "with", "fn", "hook", "test", "and", "or", "not", "true",
    "false", "_",
];
/// Operators and punctuation. The lexer takes the first match, so a symbol precedes those that are a prefix of it.
const SYMBOLS: [&str; 24] = [
    "==", "!=", "<=", ">=", "=>", "(", ")", "[", "]", "{", "}", ",", ":", ".", "=", "<", ">", "+", "-", "*",
    "/", ";", "%", "|",
];
/// Suffix of each unit, its factor to the base unit, and the unit.
pub(crate) const UNITS: [(&str, f64, Unit); 5] = [
    ("ms", 1e-3, Unit::TIME),
    ("s", 1.0, Unit::TIME),
    ("min", 60.0, Unit::TIME),
    ("%", 0.01, Unit::DIMENSIONLESS),
    ("inv/s", 1.0, Unit::RATE),
];

struct Lexer<'a> {
    rest: &'a str,
    position: Position,
    tokens: Vec<Token>,
    /// Comments since the last token.
    comments: Vec<String>,
    diagnostics: Vec<Diagnostic>,
    /// Brackets that are open. A newline is not a token if the innermost one is round or square.
    open_brackets: Vec<&'static str>,
}

/// Returns the tokens of a source and the diagnostics; the last token is [`TokenKind::EndOfSource`].
pub(crate) fn lex(text: &str) -> (Vec<Token>, Vec<Diagnostic>) {
    let position = Position { line: 1, column: 1 };
    if text.len() > MAX_SOURCE_BYTES {
        let message = format!("the source has {} bytes", text.len());
        let end = Token { position, kind: TokenKind::EndOfSource, comments: Vec::new() };
        return (vec![end], vec![diagnostic(position, message, "the limit is one mebibyte")]);
    }
    let mut lexer = Lexer {
        rest: text,
        position,
        tokens: Vec::new(),
        comments: Vec::new(),
        diagnostics: Vec::new(),
        open_brackets: Vec::new(),
    };
    while lexer.lex_next() {}
    lexer.push_token(TokenKind::EndOfSource);
    (lexer.tokens, lexer.diagnostics)
}

impl<'a> Lexer<'a> {
    /// Appends a token at the current position. Newlines leave the comments to the token after them.
    fn push_token(&mut self, kind: TokenKind) {
        let comments =
            if kind == TokenKind::Newline { Vec::new() } else { std::mem::take(&mut self.comments) };
        self.tokens.push(Token { position: self.position, kind, comments });
    }

    /// Consumes this many bytes and moves the position past them.
    fn advance(&mut self, bytes: usize) -> &'a str {
        let (consumed, rest) = self.rest.split_at(bytes);
        self.rest = rest;
        for character in consumed.chars() {
            if character == '\n' {
                self.position = Position { line: self.position.line + 1, column: 1 };
            } else {
                self.position.column += 1;
            }
        }
        consumed
    }

    /// Bytes of the prefix whose characters all match.
    fn prefix_length(&self, matches: impl Fn(char) -> bool) -> usize {
        self.rest.find(|character| !matches(character)).unwrap_or(self.rest.len())
    }

    /// Consumes the next token, comment, white space or invalid character; returns false at the end of the source.
    fn lex_next(&mut self) -> bool {
        let Some(first) = self.rest.chars().next() else { return false };
        match first {
            '\n' => {
                if !matches!(self.open_brackets.last(), Some(&"(" | &"["))
                    && !matches!(self.tokens.last().map(|token| &token.kind), None | Some(TokenKind::Newline))
                {
                    self.push_token(TokenKind::Newline);
                }
                self.advance(1);
            }
            '#' => {
                let length = self.prefix_length(|character| character != '\n');
                let comment = self.advance(length)[1..].trim().to_owned();
                self.comments.push(comment);
            }
            character if character.is_whitespace() => drop(self.advance(character.len_utf8())),
            '"' => self.string(),
            '0'..='9' => self.number(),
            character if character.is_ascii_alphabetic() || character == '_' => {
                let length =
                    self.prefix_length(|character| character.is_ascii_alphanumeric() || character == '_');
                let word = &self.rest[..length];
                match KEYWORDS.iter().find(|keyword| **keyword == word) {
                    Some(keyword) => self.push_token(TokenKind::Symbol(keyword)),
                    None => self.push_token(TokenKind::Name(word.to_owned())),
                }
                self.advance(length);
            }
            character => match SYMBOLS.iter().find(|symbol| self.rest.starts_with(**symbol)) {
                Some(symbol) => {
                    match *symbol {
                        "(" | "[" | "{" => self.open_brackets.push(symbol),
                        ")" | "]" | "}" => drop(self.open_brackets.pop()),
                        _ => {}
                    }
                    self.push_token(TokenKind::Symbol(symbol));
                    self.advance(symbol.len());
                }
                None => {
                    let message = format!("unknown character {character:?}");
                    let hint = "remove it or put it in quotes";
                    self.diagnostics.push(diagnostic(self.position, message, hint));
                    self.advance(character.len_utf8());
                }
            },
        }
        true
    }

    /// Consumes a string literal.
    fn string(&mut self) {
        let position = self.position;
        let mut value = String::new();
        let mut characters = self.rest.char_indices().skip(1);
        loop {
            match characters.next() {
                Some((offset, '"')) => {
                    self.push_token(TokenKind::String(value));
                    self.advance(offset + 1);
                    return;
                }
                Some((_, '\\')) => match characters.next() {
                    Some((_, 'n')) => value.push('\n'),
                    Some((_, character @ ('"' | '\\'))) => value.push(character),
                    _ => {
                        let hint = "write \\\" for a quote, \\\\ for a backslash and \\n for a newline";
                        self.diagnostics.push(diagnostic(position, "unknown escape in a string", hint));
                    }
                },
                Some((offset, '\n')) => {
                    self.diagnostics.push(diagnostic(
                        position,
                        "unterminated string",
                        "close it with a quote",
                    ));
                    self.push_token(TokenKind::String(value));
                    self.advance(offset);
                    return;
                }
                Some((_, character)) => value.push(character),
                None => {
                    self.diagnostics.push(diagnostic(
                        position,
                        "unterminated string",
                        "close it with a quote",
                    ));
                    self.advance(self.rest.len());
                    return;
                }
            }
        }
    }

    /// Consumes a number and the unit suffix after it, if there is one.
    fn number(&mut self) {
        let digits = self.prefix_length(|character| character.is_ascii_digit());
        let mut length = digits;
        let after = &self.rest[digits..];
        if after.starts_with('.') && after[1..].starts_with(|character: char| character.is_ascii_digit()) {
            length +=
                1 + after[1..].find(|character: char| !character.is_ascii_digit()).unwrap_or(after.len() - 1);
        }
        let value: f64 = self.rest[..length].parse().unwrap_or(f64::INFINITY);
        let (position, rest) = (self.position, &self.rest[length..]);
        let spaces = rest.len() - rest.trim_start_matches(' ').len();
        let after = &rest[spaces..];
        let is_whole_word = |suffix: &str| {
            let next = after[suffix.len()..].chars().next();
            suffix == "%"
                || next.is_none_or(|character| !character.is_ascii_alphanumeric() && character != '_')
        };
        let unit = UNITS.iter().filter(|(suffix, ..)| after.starts_with(suffix) && is_whole_word(suffix));
        let unit = unit.max_by_key(|(suffix, ..)| suffix.len());
        if !value.is_finite() {
            self.diagnostics.push(diagnostic(position, "number too large", "write a smaller number"));
        }
        match unit {
            Some(&(suffix, _, unit)) => {
                self.push_token(TokenKind::Number(value, unit, suffix));
                self.advance(length + spaces + suffix.len());
            }
            None => {
                self.push_token(TokenKind::Number(value, Unit::DIMENSIONLESS, ""));
                self.advance(length);
            }
        }
    }
}

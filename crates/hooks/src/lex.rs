//! Words of a source.

use crate::syntax::{diagnostic, Diagnostic, Position};
use crate::types::Unit;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Word {
    Number(f64, Unit, &'static str),
    String(String),
    Name(String),
    /// A word or sign of the language.
    Sign(&'static str),
    Line,
    End,
}

#[derive(Clone, Debug)]
pub(crate) struct Token {
    pub position: Position,
    pub word: Word,
    /// Comments before it.
    pub comments: Vec<String>,
}

/// Sources are no longer: a hook is read aloud at night.
pub(crate) const LONGEST: usize = 1 << 20;

const KEYWORDS: [&str; 16] = [
    "let", "if", "else", "match", "for", "in", "with", "fn", "hook", "test", "and", "or", "not", "true",
    "false", "_",
];
const SIGNS: [&str; 24] = [
    "==", "!=", "<=", ">=", "=>", "(", ")", "[", "]", "{", "}", ",", ":", ".", "=", "<", ">", "+", "-", "*",
    "/", ";", "%", "|",
];
/// Words of units: how much of the base unit each is, and its unit.
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
    comments: Vec<String>,
    diagnostics: Vec<Diagnostic>,
    /// Open brackets: directly within round and square ones a line's end says nothing.
    open: Vec<&'static str>,
}

/// Words, and what is no word; the last one is [`Word::End`].
pub(crate) fn lex(text: &str) -> (Vec<Token>, Vec<Diagnostic>) {
    let position = Position { line: 1, column: 1 };
    if text.len() > LONGEST {
        let what = format!("a source of {} bytes", text.len());
        let end = Token { position, word: Word::End, comments: Vec::new() };
        return (vec![end], vec![diagnostic(position, what, "keep it under a megabyte")]);
    }
    let mut lexer = Lexer {
        rest: text,
        position,
        tokens: Vec::new(),
        comments: Vec::new(),
        diagnostics: Vec::new(),
        open: Vec::new(),
    };
    while lexer.step() {}
    lexer.put(Word::End);
    (lexer.tokens, lexer.diagnostics)
}

impl<'a> Lexer<'a> {
    fn put(&mut self, word: Word) {
        let comments = if word == Word::Line { Vec::new() } else { std::mem::take(&mut self.comments) };
        self.tokens.push(Token { position: self.position, word, comments });
    }

    fn take(&mut self, bytes: usize) -> &'a str {
        let (taken, rest) = self.rest.split_at(bytes);
        self.rest = rest;
        for letter in taken.chars() {
            if letter == '\n' {
                self.position = Position { line: self.position.line + 1, column: 1 };
            } else {
                self.position.column += 1;
            }
        }
        taken
    }

    fn while_of(&self, of: impl Fn(char) -> bool) -> usize {
        self.rest.find(|letter| !of(letter)).unwrap_or(self.rest.len())
    }

    fn step(&mut self) -> bool {
        let Some(first) = self.rest.chars().next() else { return false };
        match first {
            '\n' => {
                if !matches!(self.open.last(), Some(&"(" | &"["))
                    && !matches!(self.tokens.last().map(|token| &token.word), None | Some(Word::Line))
                {
                    self.put(Word::Line);
                }
                self.take(1);
            }
            '#' => {
                let length = self.while_of(|letter| letter != '\n');
                let comment = self.take(length)[1..].trim().to_owned();
                self.comments.push(comment);
            }
            letter if letter.is_whitespace() => drop(self.take(letter.len_utf8())),
            '"' => self.text(),
            '0'..='9' => self.number(),
            letter if letter.is_ascii_alphabetic() || letter == '_' => {
                let length = self.while_of(|letter| letter.is_ascii_alphanumeric() || letter == '_');
                let word = &self.rest[..length];
                match KEYWORDS.iter().find(|keyword| **keyword == word) {
                    Some(keyword) => self.put(Word::Sign(keyword)),
                    None => self.put(Word::Name(word.to_owned())),
                }
                self.take(length);
            }
            letter => match SIGNS.iter().find(|sign| self.rest.starts_with(**sign)) {
                Some(sign) => {
                    match *sign {
                        "(" | "[" | "{" => self.open.push(sign),
                        ")" | "]" | "}" => drop(self.open.pop()),
                        _ => {}
                    }
                    self.put(Word::Sign(sign));
                    self.take(sign.len());
                }
                None => {
                    let what = format!("{letter:?} means nothing");
                    self.diagnostics.push(diagnostic(
                        self.position,
                        what,
                        "take it out, or put it between quotes",
                    ));
                    self.take(letter.len_utf8());
                }
            },
        }
        true
    }

    fn text(&mut self) {
        let position = self.position;
        let mut found = String::new();
        let mut letters = self.rest.char_indices().skip(1);
        loop {
            match letters.next() {
                Some((at, '"')) => {
                    self.put(Word::String(found));
                    self.take(at + 1);
                    return;
                }
                Some((_, '\\')) => match letters.next() {
                    Some((_, 'n')) => found.push('\n'),
                    Some((_, letter @ ('"' | '\\'))) => found.push(letter),
                    _ => {
                        let hint = "write \\\" for a quote, \\\\ for a backslash and \\n for a line's end";
                        self.diagnostics.push(diagnostic(
                            position,
                            "a backslash before nothing that it knows",
                            hint,
                        ));
                    }
                },
                Some((at, '\n')) => {
                    self.diagnostics.push(diagnostic(
                        position,
                        "a text without its end",
                        "close it with a quote",
                    ));
                    self.put(Word::String(found));
                    self.take(at);
                    return;
                }
                Some((_, letter)) => found.push(letter),
                None => {
                    self.diagnostics.push(diagnostic(
                        position,
                        "a text without its end",
                        "close it with a quote",
                    ));
                    self.take(self.rest.len());
                    return;
                }
            }
        }
    }

    fn number(&mut self) {
        let digits = self.while_of(|letter| letter.is_ascii_digit());
        let mut length = digits;
        let after = &self.rest[digits..];
        if after.starts_with('.') && after[1..].starts_with(|letter: char| letter.is_ascii_digit()) {
            length += 1 + after[1..].find(|letter: char| !letter.is_ascii_digit()).unwrap_or(after.len() - 1);
        }
        let value: f64 = self.rest[..length].parse().unwrap_or(f64::INFINITY);
        let (position, rest) = (self.position, &self.rest[length..]);
        let blank = rest.len() - rest.trim_start_matches(' ').len();
        let after = &rest[blank..];
        let ends = |word: &str| {
            let next = after[word.len()..].chars().next();
            word == "%" || next.is_none_or(|letter| !letter.is_ascii_alphanumeric() && letter != '_')
        };
        let unit = UNITS.iter().filter(|(word, ..)| after.starts_with(word) && ends(word));
        let unit = unit.max_by_key(|(word, ..)| word.len());
        if !value.is_finite() {
            self.diagnostics.push(diagnostic(position, "a number too large", "write a smaller one"));
        }
        match unit {
            Some(&(word, _, unit)) => {
                self.put(Word::Number(value, unit, word));
                self.take(length + blank + word.len());
            }
            None => {
                self.put(Word::Number(value, Unit::DIMENSIONLESS, ""));
                self.take(length);
            }
        }
    }
}

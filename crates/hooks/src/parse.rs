//! From words to a source. After something wrong it goes on at the next item, so that one run tells of several.

use crate::lex::{lex, Token, Word};
use crate::syntax::{
    diagnostic, show, Binary, Block, Diagnostic, Function, Kind, Node, Position, SourceFile,
};

/// Nothing is nested deeper.
const DEEPEST: usize = 64;
/// Troubles that one run tells.
const MOST: usize = 32;

struct Parser {
    tokens: Vec<Token>,
    at: usize,
    depth: usize,
}

type Parsed<T> = Result<T, Diagnostic>;

/// Reads a source. Errors: all that is wrong with its words, by position.
pub fn parse(text: &str) -> Result<SourceFile, Vec<Diagnostic>> {
    let (tokens, mut diagnostics) = lex(text);
    let mut parser = Parser { tokens, at: 0, depth: 0 };
    let mut source = SourceFile::default();
    while diagnostics.len() < MOST {
        parser.lines();
        if parser.word() == &Word::End {
            source.comments = parser.tokens[parser.at].comments.clone();
            break;
        }
        if let Err(diagnostic) = parser.item(&mut source) {
            diagnostics.push(diagnostic);
            parser.depth = 0;
            parser.recover();
        }
    }
    if diagnostics.is_empty() {
        source.text = text.to_owned();
        return Ok(source);
    }
    show(&mut diagnostics, text);
    Err(diagnostics)
}

impl Parser {
    fn word(&self) -> &Word {
        &self.tokens[self.at].word
    }

    fn position(&self) -> Position {
        self.tokens[self.at].position
    }

    fn comments(&mut self) -> Vec<String> {
        std::mem::take(&mut self.tokens[self.at].comments)
    }

    fn next(&mut self) -> Word {
        let word = self.tokens[self.at].word.clone();
        self.at = (self.at + 1).min(self.tokens.len() - 1);
        word
    }

    fn is(&self, sign: &str) -> bool {
        matches!(self.word(), Word::Sign(word) if *word == sign)
    }

    fn eat(&mut self, sign: &str) -> bool {
        let is = self.is(sign);
        if is {
            self.next();
        }
        is
    }

    fn lines(&mut self) {
        while self.word() == &Word::Line || self.is(";") {
            self.next();
        }
    }

    fn found(&self) -> String {
        match self.word() {
            Word::Number(value, _, unit) => format!("{value} {unit}").trim().to_owned(),
            Word::String(_) => "a text".into(),
            Word::Name(name) => format!("{name:?}"),
            Word::Sign(sign) => format!("{sign:?}"),
            Word::Line => "the end of the line".into(),
            Word::End => "the end of the source".into(),
        }
    }

    fn wanted(&self, what: &str, hint: &str) -> Diagnostic {
        diagnostic(self.position(), format!("{} where {what} was expected", self.found()), hint)
    }

    fn need(&mut self, sign: &str, hint: &str) -> Parsed<()> {
        if self.eat(sign) {
            return Ok(());
        }
        Err(self.wanted(&format!("{sign:?}"), hint))
    }

    fn name(&mut self, hint: &str) -> Parsed<String> {
        match self.word().clone() {
            Word::Name(name) => {
                self.next();
                Ok(name)
            }
            _ => Err(self.wanted("a name", hint)),
        }
    }

    /// To the next word that can begin an item on a line of its own.
    fn recover(&mut self) {
        loop {
            self.next();
            let begins = self.is("fn") || self.is("hook") || self.is("test");
            let alone = self.at > 0 && self.tokens[self.at - 1].word == Word::Line;
            if self.word() == &Word::End || begins && alone {
                return;
            }
        }
    }

    fn item(&mut self, source: &mut SourceFile) -> Parsed<()> {
        let (position, comments) = (self.position(), self.comments());
        if self.eat("test") {
            let Word::String(name) = self.word().clone() else {
                return Err(self.wanted("a text", "name the case, such as test \"a young server is cold\""));
            };
            self.next();
            let body = self.block()?;
            source.tests.push((position, name, body, comments));
            return Ok(());
        }
        let hook = self.is("hook");
        if !self.eat("fn") && !self.eat("hook") {
            return Err(self.wanted("fn, hook or test", "begin each item with one of these words"));
        }
        let name = self.name("give it a name of letters, digits and _")?;
        self.need("(", "names of what it takes stand between round brackets")?;
        let mut parameters = Vec::new();
        while !self.eat(")") {
            parameters.push(self.name("name what it takes")?);
            if !self.is(")") {
                self.need(",", "put a comma between two names")?;
            }
        }
        let body = self.block()?;
        let function = Function { position, name, parameters, body, comments };
        if hook { &mut source.hooks } else { &mut source.functions }.push(function);
        Ok(())
    }

    fn block(&mut self) -> Parsed<Block> {
        self.need("{", "a body stands between braces")?;
        self.deeper()?;
        let mut lets = Vec::new();
        loop {
            self.lines();
            let (position, comments) = (self.position(), self.comments());
            if self.eat("let") {
                let name = self.name("name what is kept")?;
                self.need("=", "write let name = value")?;
                let value = self.node(0)?;
                if !matches!(self.word(), Word::Line) && !self.is(";") {
                    return Err(self.wanted("the end of the line", "put each let on a line of its own"));
                }
                lets.push((position, name, value, comments));
                continue;
            }
            let value = self.node(0)?;
            self.lines();
            self.need("}", "a body ends with one value and a brace")?;
            self.depth -= 1;
            return Ok(Block { lets, value, comments });
        }
    }

    fn deeper(&mut self) -> Parsed<()> {
        self.depth += 1;
        if self.depth > DEEPEST {
            let what = format!("nested more than {DEEPEST} deep");
            return Err(diagnostic(self.position(), what, "give a name to a part of it with let"));
        }
        Ok(())
    }

    fn binary(&self) -> Option<Binary> {
        let Word::Sign(sign) = self.word() else { return None };
        Some(match *sign {
            "or" => Binary::Or,
            "and" => Binary::And,
            "==" => Binary::Equal,
            "!=" => Binary::Differs,
            "<" => Binary::Less,
            "<=" => Binary::LessEqual,
            ">" => Binary::More,
            ">=" => Binary::MoreEqual,
            "+" => Binary::Add,
            "-" => Binary::Subtract,
            "*" => Binary::Multiply,
            "/" => Binary::Divide,
            _ => return None,
        })
    }

    /// What binds at least as tightly as `least`.
    fn node(&mut self, least: u8) -> Parsed<Node> {
        self.deeper()?;
        let mut left = self.unary()?;
        while let Some(binary) = self.binary().filter(|binary| binary.level() > least) {
            let position = self.position();
            self.next();
            // A value may go on behind a sign on the next line.
            while self.word() == &Word::Line {
                self.next();
            }
            let right = self.node(binary.level())?;
            if binary.level() == 3 && self.binary().is_some_and(|next| next.level() == 3) {
                let hint = "compare two at a time, with and between";
                return Err(diagnostic(self.position(), "a comparison of a comparison", hint));
            }
            left = Node { position, kind: Kind::Binary(binary, Box::new(left), Box::new(right)) };
        }
        self.depth -= 1;
        Ok(left)
    }

    fn unary(&mut self) -> Parsed<Node> {
        let position = self.position();
        if self.eat("not") {
            // It takes a comparison, and no more.
            let kind = Kind::Not(Box::new(self.node(2)?));
            return Ok(Node { position, kind });
        }
        if self.eat("-") {
            self.deeper()?;
            let kind = Kind::Minus(Box::new(self.unary()?));
            self.depth -= 1;
            return Ok(Node { position, kind });
        }
        let mut node = self.primary()?;
        while self.is(".") {
            let position = self.position();
            self.next();
            let field = self.name("name the field behind the dot")?;
            node = Node { position, kind: Kind::Field(Box::new(node), field) };
        }
        Ok(node)
    }

    fn primary(&mut self) -> Parsed<Node> {
        let position = self.position();
        let kind = match self.next() {
            Word::Number(value, unit, word) => Kind::Number(value, unit, word),
            Word::String(text) => Kind::String(text),
            Word::Sign("true") => Kind::Boolean(true),
            Word::Sign("false") => Kind::Boolean(false),
            Word::Name(name) if self.eat("(") => {
                let mut given = Vec::new();
                while !self.eat(")") {
                    given.push(self.node(0)?);
                    if !self.is(")") {
                        self.need(",", "put a comma between two values")?;
                    }
                }
                Kind::Call(name, given)
            }
            Word::Name(name) => Kind::Name(name),
            Word::Sign("(") => {
                let node = self.node(0)?;
                self.need(")", "close the bracket")?;
                return Ok(node);
            }
            Word::Sign("[") => self.list()?,
            Word::Sign("{") => self.record()?,
            Word::Sign("if") => {
                let condition = self.node(0)?;
                let yes = self.block()?;
                while self.word() == &Word::Line && self.follows("else") {
                    self.next();
                }
                self.need("else", "an if has a value either way: give the other one")?;
                let no = if self.is("if") {
                    let value = self.primary()?;
                    Block { lets: Vec::new(), value, comments: Vec::new() }
                } else {
                    self.block()?
                };
                Kind::If(Box::new(condition), Box::new(yes), Box::new(no))
            }
            Word::Sign("match") => self.arms()?,
            Word::Sign("for") => {
                let item = self.name("write for item in list with sum = start { next }")?;
                self.need("in", "write for item in list with sum = start { next }")?;
                let list = Box::new(self.node(0)?);
                self.need("with", "a loop gathers something: with sum = start")?;
                let sum = self.name("name what is gathered")?;
                self.need("=", "give it a start")?;
                let start = Box::new(self.node(0)?);
                let next = Box::new(self.block()?);
                Kind::Fold { item, list, sum, start, next }
            }
            _ => {
                self.at -= usize::from(self.at > 0 && self.word() != &Word::End);
                return Err(
                    self.wanted("a value", "a value is a number, a text, a name, a call, if, match or for")
                );
            }
        };
        Ok(Node { position, kind })
    }

    /// Is this the next word that is no line's end?
    fn follows(&self, sign: &str) -> bool {
        let next = self.tokens[self.at..].iter().find(|token| token.word != Word::Line);
        next.is_some_and(|token| matches!(token.word, Word::Sign(word) if word == sign))
    }

    fn list(&mut self) -> Parsed<Kind> {
        if self.eat("]") {
            return Ok(Kind::List(Vec::new()));
        }
        let first = self.node(0)?;
        if self.eat("for") {
            let item = self.name("write [next for item in list]")?;
            self.need("in", "write [next for item in list]")?;
            let list = Box::new(self.node(0)?);
            let filter = if self.eat("if") { Some(Box::new(self.node(0)?)) } else { None };
            self.need("]", "close the list")?;
            return Ok(Kind::Each { next: Box::new(first), item, list, filter });
        }
        let mut items = vec![first];
        while !self.eat("]") {
            self.need(",", "put a comma between two values")?;
            if !self.is("]") {
                items.push(self.node(0)?);
            }
        }
        Ok(Kind::List(items))
    }

    fn record(&mut self) -> Parsed<Kind> {
        let mut fields: Vec<(String, Node)> = Vec::new();
        self.lines();
        while !self.eat("}") {
            let position = self.position();
            let name = self.name("a record is { name: value, ... }")?;
            if fields.iter().any(|(other, _)| *other == name) {
                return Err(diagnostic(position, format!("field {name:?} twice"), "leave one of them out"));
            }
            self.need(":", "a record is { name: value, ... }")?;
            fields.push((name, self.node(0)?));
            self.lines();
            if !self.is("}") {
                self.need(",", "put a comma between two fields")?;
                self.lines();
            }
        }
        Ok(Kind::Record(fields))
    }

    fn arms(&mut self) -> Parsed<Kind> {
        let value = Box::new(self.node(0)?);
        self.need("{", "arms stand between braces")?;
        let mut arms = Vec::new();
        loop {
            self.lines();
            if self.eat("_") {
                self.need("=>", "write _ => { value }")?;
                let rest = Box::new(self.block()?);
                self.lines();
                self.need("}", "the arm for the rest is the last one")?;
                return Ok(Kind::Match(value, arms, rest));
            }
            let position = self.position();
            let pattern = match self.next() {
                Word::Number(value, unit, word) => Kind::Number(value, unit, word),
                Word::String(text) => Kind::String(text),
                Word::Sign("true") => Kind::Boolean(true),
                Word::Sign("false") => Kind::Boolean(false),
                _ => {
                    let hint = "an arm begins with a number, a text, true, false, or _ for the rest, which must be there";
                    return Err(diagnostic(position, "no arm", hint));
                }
            };
            self.need("=>", "write pattern => { value }")?;
            arms.push((Node { position, kind: pattern }, self.block()?));
        }
    }
}

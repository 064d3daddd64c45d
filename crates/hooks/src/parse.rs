//! The parser: builds the syntax tree from tokens. After a syntax error it continues at the next item, so that one run
//! reports several errors.

use crate::lex::{lex, Token, TokenKind};
use crate::syntax::{
    diagnostic, finish_diagnostics, precedence, BinaryOperator, Block, Diagnostic, Expression,
    ExpressionKind, Function, Position, SourceFile,
};

/// Deepest permitted nesting of expressions and blocks.
const MAX_NESTING_DEPTH: usize = 64;
/// Number of diagnostics after which the parser stops.
const MAX_DIAGNOSTICS: usize = 32;

struct Parser {
    tokens: Vec<Token>,
    /// Index of the current token.
    index: usize,
    /// Current nesting depth.
    depth: usize,
}

type ParseResult<T> = Result<T, Diagnostic>;

/// Parses a source. Errors: the diagnostics of the lexer and the parser, sorted by position.
pub fn parse(text: &str) -> Result<SourceFile, Vec<Diagnostic>> {
    let (tokens, mut diagnostics) = lex(text);
    let mut parser = Parser { tokens, index: 0, depth: 0 };
    let mut source = SourceFile::default();
    while diagnostics.len() < MAX_DIAGNOSTICS {
        parser.skip_separators();
        if parser.current() == &TokenKind::EndOfSource {
            source.comments = parser.tokens[parser.index].comments.clone();
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
    finish_diagnostics(&mut diagnostics, text);
    Err(diagnostics)
}

impl Parser {
    /// The kind of the current token.
    fn current(&self) -> &TokenKind {
        &self.tokens[self.index].kind
    }

    fn position(&self) -> Position {
        self.tokens[self.index].position
    }

    /// Takes the comments before the current token.
    fn take_comments(&mut self) -> Vec<String> {
        std::mem::take(&mut self.tokens[self.index].comments)
    }

    /// Consumes and returns the current token; the last one is never passed.
    fn advance(&mut self) -> TokenKind {
        let kind = self.tokens[self.index].kind.clone();
        self.index = (self.index + 1).min(self.tokens.len() - 1);
        kind
    }

    fn at_symbol(&self, symbol: &str) -> bool {
        matches!(self.current(), TokenKind::Symbol(current) if *current == symbol)
    }

    /// Consumes the symbol if it is the current token; returns whether it was.
    fn eat(&mut self, symbol: &str) -> bool {
        let found = self.at_symbol(symbol);
        if found {
            self.advance();
        }
        found
    }

    /// Skips newlines and semicolons.
    fn skip_separators(&mut self) {
        while self.current() == &TokenKind::Newline || self.at_symbol(";") {
            self.advance();
        }
    }

    /// The current token, as diagnostics name it.
    fn describe_current(&self) -> String {
        match self.current() {
            TokenKind::Number(value, _, suffix) => format!("{value} {suffix}").trim().to_owned(),
            TokenKind::String(_) => "a string".into(),
            TokenKind::Name(name) => format!("{name:?}"),
            TokenKind::Symbol(symbol) => format!("{symbol:?}"),
            TokenKind::Newline => "the end of the line".into(),
            TokenKind::EndOfSource => "the end of the source".into(),
        }
    }

    fn unexpected_token(&self, expected: &str, hint: &str) -> Diagnostic {
        diagnostic(self.position(), format!("expected {expected}, found {}", self.describe_current()), hint)
    }

    /// Consumes the symbol, or fails if it is not the current token.
    fn expect(&mut self, symbol: &str, hint: &str) -> ParseResult<()> {
        if self.eat(symbol) {
            return Ok(());
        }
        Err(self.unexpected_token(&format!("{symbol:?}"), hint))
    }

    fn name(&mut self, hint: &str) -> ParseResult<String> {
        match self.current().clone() {
            TokenKind::Name(name) => {
                self.advance();
                Ok(name)
            }
            _ => Err(self.unexpected_token("a name", hint)),
        }
    }

    /// Skips to the next line that starts with `fn`, `hook` or `test`, or to the end of the source.
    fn recover(&mut self) {
        loop {
            self.advance();
            let item_keyword = self.at_symbol("fn") || self.at_symbol("hook") || self.at_symbol("test");
            let line_start = self.index > 0 && self.tokens[self.index - 1].kind == TokenKind::Newline;
            if self.current() == &TokenKind::EndOfSource || item_keyword && line_start {
                return;
            }
        }
    }

    /// Parses a function, hook or test.
    fn item(&mut self, source: &mut SourceFile) -> ParseResult<()> {
        let (position, comments) = (self.position(), self.take_comments());
        if self.eat("test") {
            let TokenKind::String(name) = self.current().clone() else {
                return Err(self
                    .unexpected_token("a string", "name the test, such as test \"a young server is cold\""));
            };
            self.advance();
            let body = self.block()?;
            source.tests.push((position, name, body, comments));
            return Ok(());
        }
        let is_hook = self.at_symbol("hook");
        if !self.eat("fn") && !self.eat("hook") {
            return Err(
                self.unexpected_token("fn, hook or test", "start each item with one of these keywords")
            );
        }
        let name = self.name("a name consists of letters, digits and _")?;
        self.expect("(", "put the parameter names in parentheses")?;
        let mut parameters = Vec::new();
        while !self.eat(")") {
            parameters.push(self.name("give the name of a parameter")?);
            if !self.at_symbol(")") {
                self.expect(",", "separate parameters with commas")?;
            }
        }
        let body = self.block()?;
        let function = Function { position, name, parameters, body, comments };
        if is_hook { &mut source.hooks } else { &mut source.functions }.push(function);
        Ok(())
    }

    /// Parses `let` bindings and the value after them, in braces.
    fn block(&mut self) -> ParseResult<Block> {
        self.expect("{", "put the body in braces")?;
        self.enter_nested()?;
        let mut lets = Vec::new();
        loop {
            self.skip_separators();
            let (position, comments) = (self.position(), self.take_comments());
            if self.eat("let") {
                let name = self.name("write let name = value")?;
                self.expect("=", "write let name = value")?;
                let value = self.expression(precedence::LOWEST)?;
                if !matches!(self.current(), TokenKind::Newline) && !self.at_symbol(";") {
                    return Err(
                        self.unexpected_token("the end of the line", "put each let on a line of its own")
                    );
                }
                lets.push((position, name, value, comments));
                continue;
            }
            let value = self.expression(precedence::LOWEST)?;
            self.skip_separators();
            self.expect("}", "a body ends with one value and a closing brace")?;
            self.depth -= 1;
            return Ok(Block { lets, value, comments });
        }
    }

    /// Counts one more level of nesting, up to [`MAX_NESTING_DEPTH`].
    fn enter_nested(&mut self) -> ParseResult<()> {
        self.depth += 1;
        if self.depth > MAX_NESTING_DEPTH {
            let message = format!("nesting is deeper than {MAX_NESTING_DEPTH} levels");
            return Err(diagnostic(self.position(), message, "bind a part of it to a name with let"));
        }
        Ok(())
    }

    /// The current token as a binary operator.
    fn binary_operator(&self) -> Option<BinaryOperator> {
        let TokenKind::Symbol(symbol) = self.current() else { return None };
        Some(match *symbol {
            "or" => BinaryOperator::Or,
            "and" => BinaryOperator::And,
            "==" => BinaryOperator::Equal,
            "!=" => BinaryOperator::NotEqual,
            "<" => BinaryOperator::Less,
            "<=" => BinaryOperator::LessEqual,
            ">" => BinaryOperator::Greater,
            ">=" => BinaryOperator::GreaterEqual,
            "+" => BinaryOperator::Add,
            "-" => BinaryOperator::Subtract,
            "*" => BinaryOperator::Multiply,
            "/" => BinaryOperator::Divide,
            _ => return None,
        })
    }

    /// Parses an expression whose binary operators bind more tightly than `outer_precedence`.
    fn expression(&mut self, outer_precedence: u8) -> ParseResult<Expression> {
        self.enter_nested()?;
        let mut left = self.unary()?;
        while let Some(operator) =
            self.binary_operator().filter(|operator| operator.precedence() > outer_precedence)
        {
            let position = self.position();
            self.advance();
            // The right operand may stand on the next line.
            while self.current() == &TokenKind::Newline {
                self.advance();
            }
            let right = self.expression(operator.precedence())?;
            if operator.precedence() == precedence::COMPARISON
                && self.binary_operator().is_some_and(|next| next.precedence() == precedence::COMPARISON)
            {
                let hint = "join two comparisons with and";
                return Err(diagnostic(self.position(), "comparisons can't be chained", hint));
            }
            left = Expression {
                position,
                kind: ExpressionKind::Binary(operator, Box::new(left), Box::new(right)),
            };
        }
        self.depth -= 1;
        Ok(left)
    }

    /// Parses `not`, `-`, or a primary expression with its field accesses.
    fn unary(&mut self) -> ParseResult<Expression> {
        let position = self.position();
        if self.eat("not") {
            // The operand extends over comparisons and tighter operators, not over `and` and `or`.
            let kind = ExpressionKind::Not(Box::new(self.expression(precedence::AND)?));
            return Ok(Expression { position, kind });
        }
        if self.eat("-") {
            self.enter_nested()?;
            let kind = ExpressionKind::Negate(Box::new(self.unary()?));
            self.depth -= 1;
            return Ok(Expression { position, kind });
        }
        let mut expression = self.primary()?;
        while self.at_symbol(".") {
            let position = self.position();
            self.advance();
            let field = self.name("give the name of the field after the dot")?;
            expression = Expression { position, kind: ExpressionKind::Field(Box::new(expression), field) };
        }
        Ok(expression)
    }

    /// Parses a literal, name, call, parenthesized expression, list, record, `if`, `match` or `for`.
    fn primary(&mut self) -> ParseResult<Expression> {
        let position = self.position();
        let kind = match self.advance() {
            TokenKind::Number(value, unit, suffix) => ExpressionKind::Number(value, unit, suffix),
            TokenKind::String(value) => ExpressionKind::String(value),
            TokenKind::Symbol("true") => ExpressionKind::Boolean(true),
            TokenKind::Symbol("false") => ExpressionKind::Boolean(false),
            TokenKind::Name(name) if self.eat("(") => {
                let mut arguments = Vec::new();
                while !self.eat(")") {
                    arguments.push(self.expression(precedence::LOWEST)?);
                    if !self.at_symbol(")") {
                        self.expect(",", "separate values with commas")?;
                    }
                }
                ExpressionKind::Call(name, arguments)
            }
            TokenKind::Name(name) => ExpressionKind::Name(name),
            TokenKind::Symbol("(") => {
                let expression = self.expression(precedence::LOWEST)?;
                self.expect(")", "close the parenthesis")?;
                return Ok(expression);
            }
            TokenKind::Symbol("[") => self.list()?,
            TokenKind::Symbol("{") => self.record()?,
            TokenKind::Symbol("if") => {
                let condition = self.expression(precedence::LOWEST)?;
                let then_block = self.block()?;
                while self.current() == &TokenKind::Newline && self.next_line_starts_with("else") {
                    self.advance();
                }
                self.expect("else", "an if has a value in both cases: add an else block")?;
                let else_block = if self.at_symbol("if") {
                    let value = self.primary()?;
                    Block { lets: Vec::new(), value, comments: Vec::new() }
                } else {
                    self.block()?
                };
                ExpressionKind::If(Box::new(condition), Box::new(then_block), Box::new(else_block))
            }
            TokenKind::Symbol("match") => self.match_expression()?,
            TokenKind::Symbol("for") => {
                let item = self.name("write for item in list with accumulator = initial { body }")?;
                self.expect("in", "write for item in list with accumulator = initial { body }")?;
                let list = Box::new(self.expression(precedence::LOWEST)?);
                self.expect("with", "a loop needs an accumulator: with accumulator = initial")?;
                let accumulator = self.name("give the name of the accumulator")?;
                self.expect("=", "give the accumulator an initial value")?;
                let initial = Box::new(self.expression(precedence::LOWEST)?);
                let body = Box::new(self.block()?);
                ExpressionKind::Fold { item, list, accumulator, initial, body }
            }
            _ => {
                // Goes back to the unexpected token, so that the diagnostic names it.
                self.index -= usize::from(self.index > 0 && self.current() != &TokenKind::EndOfSource);
                return Err(self.unexpected_token(
                    "a value",
                    "a value is a number, a string, a name, a call, if, match or for",
                ));
            }
        };
        Ok(Expression { position, kind })
    }

    /// Whether this symbol is the next token after any newlines.
    fn next_line_starts_with(&self, symbol: &str) -> bool {
        let next = self.tokens[self.index..].iter().find(|token| token.kind != TokenKind::Newline);
        next.is_some_and(|token| matches!(token.kind, TokenKind::Symbol(current) if current == symbol))
    }

    /// Parses a list or a list comprehension after its opening bracket.
    fn list(&mut self) -> ParseResult<ExpressionKind> {
        if self.eat("]") {
            return Ok(ExpressionKind::List(Vec::new()));
        }
        let first = self.expression(precedence::LOWEST)?;
        if self.eat("for") {
            let item = self.name("write [element for item in list]")?;
            self.expect("in", "write [element for item in list]")?;
            let list = Box::new(self.expression(precedence::LOWEST)?);
            let filter =
                if self.eat("if") { Some(Box::new(self.expression(precedence::LOWEST)?)) } else { None };
            self.expect("]", "close the list")?;
            return Ok(ExpressionKind::ListComprehension { element: Box::new(first), item, list, filter });
        }
        let mut items = vec![first];
        while !self.eat("]") {
            self.expect(",", "separate values with commas")?;
            if !self.at_symbol("]") {
                items.push(self.expression(precedence::LOWEST)?);
            }
        }
        Ok(ExpressionKind::List(items))
    }

    /// Parses a record after its opening brace.
    fn record(&mut self) -> ParseResult<ExpressionKind> {
        let mut fields: Vec<(String, Expression)> = Vec::new();
        self.skip_separators();
        while !self.eat("}") {
            let position = self.position();
            let name = self.name("a record is { name: value, ... }")?;
            if fields.iter().any(|(other, _)| *other == name) {
                return Err(diagnostic(position, format!("duplicate field {name:?}"), "remove one of them"));
            }
            self.expect(":", "a record is { name: value, ... }")?;
            fields.push((name, self.expression(precedence::LOWEST)?));
            self.skip_separators();
            if !self.at_symbol("}") {
                self.expect(",", "separate fields with commas")?;
                self.skip_separators();
            }
        }
        Ok(ExpressionKind::Record(fields))
    }

    /// Parses the value and the arms after `match`; the last arm is the default `_`.
    fn match_expression(&mut self) -> ParseResult<ExpressionKind> {
        let value = Box::new(self.expression(precedence::LOWEST)?);
        self.expect("{", "put the arms in braces")?;
        let mut arms = Vec::new();
        loop {
            self.skip_separators();
            if self.eat("_") {
                self.expect("=>", "write _ => { value }")?;
                let default = Box::new(self.block()?);
                self.skip_separators();
                self.expect("}", "the default arm _ must be the last one")?;
                return Ok(ExpressionKind::Match(value, arms, default));
            }
            let position = self.position();
            let pattern = match self.advance() {
                TokenKind::Number(value, unit, suffix) => ExpressionKind::Number(value, unit, suffix),
                TokenKind::String(value) => ExpressionKind::String(value),
                TokenKind::Symbol("true") => ExpressionKind::Boolean(true),
                TokenKind::Symbol("false") => ExpressionKind::Boolean(false),
                _ => {
                    let hint = "an arm starts with a number, a string, true, false, or _; the default arm _ is required";
                    return Err(diagnostic(position, "expected an arm", hint));
                }
            };
            self.expect("=>", "write pattern => { value }")?;
            arms.push((Expression { position, kind: pattern }, self.block()?));
        }
    }
}

//! The formatter: writes a source in its canonical form, with the same meaning.

use std::fmt::Write;

use crate::syntax::{precedence, Block, Expression, ExpressionKind, Function, Position, SourceFile};

/// Longest line, in bytes, on which a list of items, fields or arguments is kept together.
const MAX_LINE_BYTES: usize = 96;
/// Spaces per indentation level.
const INDENT_SPACES: usize = 4;

/// Returns the canonical form of a source: items in source order with a blank line between them, four spaces per
/// indentation level, and comments before the item, `let` or value that they preceded.
pub fn format(source: &SourceFile) -> String {
    let mut items: Vec<(Position, String)> = Vec::new();
    for (keyword, functions) in [("fn", &source.functions), ("hook", &source.hooks)] {
        for function in functions {
            let Function { position, name, parameters, body, comments } = function;
            let mut out = format_comments(comments, 0);
            let _ = write!(out, "{keyword} {name}({}) ", parameters.join(", "));
            out += &format_block(body, 0);
            items.push((*position, out));
        }
    }
    for (position, name, body, comments) in &source.tests {
        let comments = format_comments(comments, 0);
        let text = format!("{comments}test {} {}", quote(name), format_block(body, 0));
        items.push((*position, text));
    }
    items.sort_by_key(|item| item.0);
    let mut out = items.into_iter().map(|item| item.1).collect::<Vec<_>>().join("\n\n");
    out.push('\n');
    if !source.comments.is_empty() {
        let _ = write!(out, "\n{}", format_comments(&source.comments, 0));
    }
    out
}

fn format_comments(lines: &[String], level: usize) -> String {
    lines.iter().map(|line| format!("{}# {line}\n", indent(level)).replace("# \n", "#\n")).collect()
}

fn indent(level: usize) -> String {
    " ".repeat(INDENT_SPACES * level)
}

/// A string literal with this value.
fn quote(value: &str) -> String {
    let mut out = String::from("\"");
    for character in value.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            character => out.push(character),
        }
    }
    out.push('"');
    out
}

fn format_block(body: &Block, level: usize) -> String {
    let inner_indent = indent(level + 1);
    let mut out = String::from("{\n");
    for (_, name, value, comments) in &body.lets {
        out += &format_comments(comments, level + 1);
        let value = format_expression(value, precedence::LOWEST, level + 1);
        let _ = writeln!(out, "{inner_indent}let {name} = {value}");
    }
    out += &format_comments(&body.comments, level + 1);
    let value = format_expression(&body.value, precedence::LOWEST, level + 1);
    let _ = write!(out, "{inner_indent}{value}\n{}}}", indent(level));
    out
}

/// Formats an expression, in parentheses if it binds less tightly than `min_precedence`.
fn format_expression(expression: &Expression, min_precedence: u8, level: usize) -> String {
    let format_any = |expression: &Expression| format_expression(expression, precedence::LOWEST, level);
    let format_all = |items: &[Expression]| items.iter().map(format_any).collect::<Vec<_>>();
    match &expression.kind {
        ExpressionKind::Number(value, _, "") => format!("{value}"),
        ExpressionKind::Number(value, _, "%") => format!("{value}%"),
        ExpressionKind::Number(value, _, suffix) => format!("{value} {suffix}"),
        ExpressionKind::String(value) => quote(value),
        ExpressionKind::Boolean(value) => value.to_string(),
        ExpressionKind::Name(name) => name.clone(),
        ExpressionKind::List(items) => wrap_items("[", format_all(items), "]", level),
        ExpressionKind::Record(fields) if fields.is_empty() => "{}".into(),
        ExpressionKind::Record(fields) => {
            let fields =
                fields.iter().map(|(name, value)| format!("{name}: {}", format_any(value))).collect();
            wrap_items("{ ", fields, " }", level)
        }
        ExpressionKind::Field(record, name) => {
            format!("{}.{name}", format_expression(record, precedence::FIELD_ACCESS, level))
        }
        ExpressionKind::Call(name, arguments) => {
            wrap_items(&format!("{name}("), format_all(arguments), ")", level)
        }
        ExpressionKind::Not(operand) => {
            let text = format!("not {}", format_expression(operand, precedence::COMPARISON, level));
            parenthesize_if(min_precedence > precedence::AND, text)
        }
        ExpressionKind::Negate(operand) => {
            let text = format!("-{}", format_expression(operand, precedence::NEGATION, level));
            parenthesize_if(min_precedence > precedence::NEGATION, text)
        }
        ExpressionKind::Binary(operator, left, right) => {
            let own = operator.precedence();
            // Comparisons can't be chained; the other operators associate to the left.
            let left_minimum = if own == precedence::COMPARISON { precedence::ADDITIVE } else { own };
            let left = format_expression(left, left_minimum, level);
            let right = format_expression(right, own + 1, level);
            parenthesize_if(min_precedence > own, format!("{left} {} {right}", operator.symbol()))
        }
        ExpressionKind::If(condition, then_block, else_block) => {
            let condition = format_any(condition);
            let then_text = format_block(then_block, level);
            let else_text = match &else_block.value.kind {
                ExpressionKind::If(..) if else_block.lets.is_empty() && else_block.comments.is_empty() => {
                    format_any(&else_block.value)
                }
                _ => format_block(else_block, level),
            };
            let text = format!("if {condition} {then_text} else {else_text}");
            parenthesize_if(min_precedence > precedence::LOWEST, text)
        }
        ExpressionKind::Match(value, arms, default) => {
            let inner_indent = indent(level + 1);
            let mut out = format!("match {} {{\n", format_any(value));
            for (pattern, body) in arms {
                let (pattern, body) = (format_any(pattern), format_block(body, level + 1));
                let _ = writeln!(out, "{inner_indent}{pattern} => {body}");
            }
            let default = format_block(default, level + 1);
            let _ = write!(out, "{inner_indent}_ => {default}\n{}}}", indent(level));
            parenthesize_if(min_precedence > precedence::LOWEST, out)
        }
        ExpressionKind::Fold { item, list, accumulator, initial, body } => {
            let (list, initial) = (format_any(list), format_any(initial));
            let body = format_block(body, level);
            let text = format!("for {item} in {list} with {accumulator} = {initial} {body}");
            parenthesize_if(min_precedence > precedence::LOWEST, text)
        }
        ExpressionKind::ListComprehension { element, item, list, filter } => {
            let filter = filter.as_ref().map(|filter| format!(" if {}", format_any(filter)));
            let element = format_any(element);
            // An `if` expression needs parentheses here, since `if` after the list starts the filter.
            let list = format_expression(list, precedence::OR, level);
            format!("[{element} for {item} in {list}{}]", filter.unwrap_or_default())
        }
    }
}

fn parenthesize_if(needed: bool, text: String) -> String {
    if needed {
        format!("({text})")
    } else {
        text
    }
}

/// Writes items on one line, or each on a line of its own if the line would be longer than [`MAX_LINE_BYTES`].
fn wrap_items(open: &str, items: Vec<String>, close: &str, level: usize) -> String {
    let line = format!("{open}{}{close}", items.join(", "));
    let too_long = line.len() + INDENT_SPACES * level > MAX_LINE_BYTES;
    if !(too_long && !line.contains('\n') && items.len() > 1) {
        return line;
    }
    let inner_indent = indent(level + 1);
    let items: Vec<String> = items.iter().map(|item| format!("{inner_indent}{item}")).collect();
    format!("{}\n{}\n{}{}", open.trim_end(), items.join(",\n"), indent(level), close.trim_start())
}

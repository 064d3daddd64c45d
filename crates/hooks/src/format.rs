//! One way to write a source, with the same meaning.

use std::fmt::Write;

use crate::syntax::{Block, Function, Kind, Node, SourceFile};

/// Lines are broken where they would be longer.
const WIDE: usize = 96;

/// Writes a source anew: each item apart, four spaces a level, comments before what they stood before.
pub fn format(source: &SourceFile) -> String {
    let mut items: Vec<(crate::syntax::Position, String)> = Vec::new();
    for (word, functions) in [("fn", &source.functions), ("hook", &source.hooks)] {
        for function in functions {
            let Function { position, name, parameters, body, comments: before } = function;
            let mut out = comments(before, 0);
            let _ = write!(out, "{word} {name}({}) ", parameters.join(", "));
            out += &block(body, 0);
            items.push((*position, out));
        }
    }
    for (position, name, body, before) in &source.tests {
        items.push((*position, format!("{}test {} {}", comments(before, 0), quoted(name), block(body, 0))));
    }
    items.sort_by_key(|item| item.0);
    let mut out = items.into_iter().map(|item| item.1).collect::<Vec<_>>().join("\n\n");
    out.push('\n');
    if !source.comments.is_empty() {
        let _ = write!(out, "\n{}", comments(&source.comments, 0));
    }
    out
}

fn comments(lines: &[String], level: usize) -> String {
    lines.iter().map(|line| format!("{}# {line}\n", indent(level)).replace("# \n", "#\n")).collect()
}

fn indent(level: usize) -> String {
    " ".repeat(4 * level)
}

fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}

fn block(body: &Block, level: usize) -> String {
    let within = indent(level + 1);
    let mut out = String::from("{\n");
    for (_, name, value, before) in &body.lets {
        out += &comments(before, level + 1);
        let _ = writeln!(out, "{within}let {name} = {}", node(value, 0, level + 1));
    }
    out += &comments(&body.comments, level + 1);
    let _ = write!(out, "{within}{}\n{}}}", node(&body.value, 0, level + 1), indent(level));
    out
}

/// `least`: what binds less tightly stands between brackets.
fn node(node_of: &Node, least: u8, level: usize) -> String {
    let list = |items: &[Node]| items.iter().map(|item| node(item, 0, level)).collect::<Vec<_>>();
    match &node_of.kind {
        Kind::Number(value, _, "") => format!("{value}"),
        Kind::Number(value, _, "%") => format!("{value}%"),
        Kind::Number(value, _, unit) => format!("{value} {unit}"),
        Kind::String(text) => quoted(text),
        Kind::Boolean(truth) => truth.to_string(),
        Kind::Name(name) => name.clone(),
        Kind::List(items) => broken("[", list(items), "]", level),
        Kind::Record(fields) if fields.is_empty() => "{}".into(),
        Kind::Record(fields) => {
            let fields =
                fields.iter().map(|(name, value)| format!("{name}: {}", node(value, 0, level))).collect();
            broken("{ ", fields, " }", level)
        }
        Kind::Field(record, name) => format!("{}.{name}", node(record, 9, level)),
        Kind::Call(name, given) => broken(&format!("{name}("), list(given), ")", level),
        Kind::Not(inner) => bracketed(format!("not {}", node(inner, 3, level)), least > 2),
        Kind::Minus(inner) => bracketed(format!("-{}", node(inner, 8, level)), least > 8),
        Kind::Binary(binary, left, right) => {
            let own = binary.level();
            // Comparisons do not chain; the others go on from the left.
            let (left, right) =
                (node(left, if own == 3 { 4 } else { own }, level), node(right, own + 1, level));
            bracketed(format!("{left} {} {right}", binary.text()), least > own)
        }
        Kind::If(condition, yes, no) => {
            let condition = node(condition, 0, level);
            let out = match &no.value.kind {
                Kind::If(..) if no.lets.is_empty() && no.comments.is_empty() => {
                    format!("if {condition} {} else {}", block(yes, level), node(&no.value, 0, level))
                }
                _ => format!("if {condition} {} else {}", block(yes, level), block(no, level)),
            };
            bracketed(out, least > 0)
        }
        Kind::Match(value, arms, rest) => {
            let within = indent(level + 1);
            let mut out = format!("match {} {{\n", node(value, 0, level));
            for (pattern, body) in arms {
                let _ = writeln!(out, "{within}{} => {}", node(pattern, 0, level), block(body, level + 1));
            }
            let _ = write!(out, "{within}_ => {}\n{}}}", block(rest, level + 1), indent(level));
            bracketed(out, least > 0)
        }
        Kind::Fold { item, list, sum, start, next } => {
            let (list, start) = (node(list, 0, level), node(start, 0, level));
            bracketed(format!("for {item} in {list} with {sum} = {start} {}", block(next, level)), least > 0)
        }
        Kind::Each { next, item, list, filter } => {
            let filter = filter.as_ref().map(|filter| format!(" if {}", node(filter, 0, level)));
            let (next, list) = (node(next, 0, level), node(list, 1, level));
            format!("[{next} for {item} in {list}{}]", filter.unwrap_or_default())
        }
    }
}

fn bracketed(text: String, needed: bool) -> String {
    if needed {
        format!("({text})")
    } else {
        text
    }
}

/// On one line, or each part on one of its own.
fn broken(open: &str, parts: Vec<String>, close: &str, level: usize) -> String {
    let line = format!("{open}{}{close}", parts.join(", "));
    let long = line.len() + 4 * level > WIDE && !line.contains('\n') && parts.len() > 1;
    if !long {
        return line;
    }
    let within = indent(level + 1);
    let parts: Vec<String> = parts.iter().map(|part| format!("{within}{part}")).collect();
    format!("{}\n{}\n{}{}", open.trim_end(), parts.join(",\n"), indent(level), close.trim_start())
}

use std::collections::BTreeMap;
use std::rc::Rc;

use oorandom::Rand64;
use rstest::rstest;

use super::*;
use crate::syntax::{Binary, Block, Kind, Node};

const AMPLE: Limits = Limits { fuel: 1_000_000, memory_bytes: 1 << 24 };

fn number() -> Type {
    Type::Number(Unit::DIMENSIONLESS)
}

fn server_type() -> Type {
    let fields = [
        ("age", Type::Number(Unit::TIME)),
        ("answer_time", Type::Number(Unit::TIME)),
        ("locality", Type::String),
        ("rate", Type::Number(Unit::RATE)),
        ("errors", number()),
    ];
    Type::Record(fields.into_iter().map(|(name, of)| (name.to_owned(), of)).collect())
}

fn hook_points() -> Vec<HookPoint> {
    let point = |name: &str, inputs: &[(&str, Type)], output| HookPoint {
        name: name.into(),
        inputs: inputs.iter().map(|(name, of)| ((*name).to_owned(), of.clone())).collect(),
        output,
    };
    let numbers = Type::List(Some(Box::new(number())));
    vec![
        point("warm", &[("server", server_type())], Type::Boolean),
        point(
            "score",
            &[("server", server_type()), ("others", Type::List(Some(Box::new(server_type()))))],
            number(),
        ),
        point(
            "mix",
            &[("x", number()), ("y", number()), ("xs", numbers), ("t", Type::Boolean), ("s", Type::String)],
            number(),
        ),
    ]
}

fn a_server(age: f64, answer_time: f64, locality: &str) -> Value {
    // In the order of the fields' names: age, answer_time, errors, locality, rate.
    let values = [
        Value::Number(age),
        Value::Number(answer_time),
        Value::Number(0.02),
        Value::String(locality.into()),
        Value::Number(120.0),
    ];
    Value::Record(Rc::new(values) as Rc<[Value]>)
}

fn program(text: &str) -> Program {
    let source = parse(text).unwrap_or_else(|diagnostics| panic!("{}", diagnostics[0]));
    compile(&source, &hook_points()).unwrap_or_else(|diagnostics| panic!("{}", diagnostics[0]))
}

const HOOKS: &str = r#"
# Old enough, and quick.
fn quick(server) {
    server.answer_time < 400 ms
}

hook warm(server) {
    # Two minutes are enough for anybody.
    server.age > 2 min or server.age > 20 s and quick(server)
}

hook score(server, others) {
    let near = [other.answer_time for other in others if other.locality == server.locality]
    let mean = if count(near) > 0 { sum(near) / count(near) } else { 1 s }
    let busy = for other in others with most = 0 inv/s { max(most, other.rate) }
    match server.locality {
        "hal-a" => { clamp(mean / server.answer_time, 0, 1) }
        _ => { min(1, server.errors + 50% * (server.rate / busy)) }
    }
}

test "a young server is not warm" {
    not warm({ age: 3 s, answer_time: 90 ms, errors: 0, locality: "hal-a", rate: 5 inv/s })
}
"#;

#[test]
fn hooks_with_units_lists_and_cases_run() {
    let program = program(HOOKS);
    let warm = |age, time| program.call("warm", &[a_server(age, time, "hal-a")], AMPLE, 1).0;
    assert_eq!(warm(30.0, 0.3), Ok(Value::Boolean(true)));
    assert_eq!(warm(30.0, 0.5), Ok(Value::Boolean(false)));
    assert_eq!(warm(130.0, 0.5), Ok(Value::Boolean(true)));
    let others = Value::List(Rc::new(vec![
        a_server(9.0, 0.2, "hal-a"),
        a_server(9.0, 0.4, "hal-a"),
        a_server(9.0, 9.0, "hal-b"),
    ]));
    let score = |locality| program.call("score", &[a_server(9.0, 0.6, locality), others.clone()], AMPLE, 1).0;
    assert!(matches!(score("hal-a"), Ok(Value::Number(x)) if (x - 0.5).abs() < 1e-12));
    assert_eq!(score("hal-b"), Ok(Value::Number(0.52)));
    assert_eq!(program.run_tests(AMPLE, 1), [("a young server is not warm", Ok(true))]);
    assert_eq!(program.hook_names().collect::<Vec<_>>(), ["score", "warm"]);
}

#[rstest]
#[case::units("hook warm(s) { s.age > 3 }", "a time, and a plain number", "1:22")]
#[case::units_added("hook mix(x, y, xs, t, s) { number(3 s + 1 inv/s) }", "a time, and a rate", "1:39")]
#[case::output("hook warm(s) { s.age }", "comes to a time", "1:17")]
#[case::field("hook warm(s) { s.speed > 3 }", "no field \"speed\"", "1:17")]
#[case::name("hook warm(s) { server.age > 3 s }", "\"server\" is not known", "1:16")]
#[case::point("hook cool(s) { true }", "no hook point \"cool\"", "1:1")]
#[case::takes("hook warm(s, o) { true }", "takes server", "1:1")]
#[case::recursion(
    "fn f(x) { g(x) }\nfn g(x) { f(x) }\nhook warm(s) { f(s) }",
    "calls itself, by way of warm, f, g",
    "2:11"
)]
#[case::ways("hook warm(s) { if true { true } else { 3 } }", "two ways of an if differ", "1:16")]
#[case::items("hook warm(s) { count([1, \"a\"]) > 0 }", "items of one list differ", "1:26")]
#[case::arm("hook warm(s) { match s.locality { 3 => { true }\n _ => { false } } }", "can't be met", "1:35")]
#[case::order("hook warm(s) { s.locality < \"b\" }", "has no order", "1:27")]
#[case::unused("fn f(x) { x }\nhook warm(s) { true }", "nobody calls \"f\"", "1:1")]
#[case::twice("hook warm(s) { true }\nhook warm(s) { false }", "stands twice", "2:1")]
#[case::builtin("hook warm(s) { min(1 s, 2) > 1 s }", "min of a time; a plain number", "1:16")]
#[case::case_of_no_truth("test \"x\" { 3 }", "comes to a plain number", "1:1")]
fn what_does_not_fit_is_told_with_its_place(#[case] text: &str, #[case] what: &str, #[case] position: &str) {
    let diagnostics = compile(&parse(text).unwrap(), &hook_points()).unwrap_err();
    let found: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    assert!(
        found.iter().any(|one| one.contains(what) && one.starts_with(&format!("{position}:"))),
        "{found:?}"
    );
}

#[test]
fn several_troubles_come_in_one_run_with_line_and_hint() {
    let text =
        "hook warm(s) { s.age > }\n\nfn broken( { 3 }\n\nhook score(s, o) {\n    let x = 3 ?\n    x\n}\n";
    let found: Vec<String> = parse(text).unwrap_err().iter().map(Diagnostic::to_string).collect();
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found[0].starts_with("1:24: \"}\" where a value was expected") && found[0].contains("s.age >"));
    assert!(found[1].starts_with("3:12: \"{\" where a name was expected"), "{found:?}");
    assert!(found[2].contains("'?' means nothing") && found[2].contains("let x = 3 ?"), "{found:?}");
    let deep = format!("hook warm(s) {{ {}true{} }}", "(".repeat(200), ")".repeat(200));
    assert!(parse(&deep).unwrap_err()[0].message.contains("nested"));
    assert!(parse(&" ".repeat(2 << 20)).unwrap_err()[0].message.contains("bytes"));
}

#[rstest]
#[case::long(
    "mix",
    "for a in range(100) with n = 0 { for b in range(100) with m = n { m + 1 } }",
    FaultKind::OutOfFuel
)]
#[case::wide("mix", "count(range(10000000))", FaultKind::OutOfFuel)]
#[case::growing("mix", "count([s + s for i in range(900)])", FaultKind::OutOfMemory)]
#[case::nothing("mix", "x / (y - y)", FaultKind::NoNumber)]
#[case::without_bounds(
    "mix",
    "for i in xs with n = 1 { n * 1000000000000000000000000000000000000000000 * n }",
    FaultKind::NoNumber
)]
fn a_hook_ends_within_its_bounds(#[case] hook: &str, #[case] body: &str, #[case] kind: FaultKind) {
    let program = program(&format!("hook {hook}(x, y, xs, t, s) {{ {body} }}"));
    let limits = Limits { fuel: 50_000, memory_bytes: 400_000 };
    let numbers = Value::List(Rc::new(vec![Value::Number(1e40); 12]));
    let inputs = [
        Value::Number(1.0),
        Value::Number(2.0),
        numbers,
        Value::Boolean(true),
        Value::String("long ".repeat(200).into()),
    ];
    let (result, usage) = program.call(hook, &inputs, limits, 7);
    assert_eq!(result.map_err(|fault| fault.kind), Err(kind));
    assert_eq!(program.call(hook, &inputs, limits, 7).1, usage);
}

#[test]
fn inputs_that_do_not_fit_and_unknown_hooks_are_faults() {
    let program = program("hook mix(x, y, xs, t, s) { x }");
    let kind = |inputs: &[Value]| program.call("mix", inputs, AMPLE, 1).0.map_err(|fault| fault.kind);
    let good = [
        Value::Number(1.0),
        Value::Number(2.0),
        Value::List(Rc::new(vec![])),
        Value::Boolean(true),
        Value::String("".into()),
    ];
    assert_eq!(kind(&good), Ok(Value::Number(1.0)));
    let mut bad = good.clone();
    bad[0] = Value::Number(f64::NAN);
    assert_eq!((kind(&bad), kind(&good[1..])), (Err(FaultKind::TypeMismatch), Err(FaultKind::TypeMismatch)));
    assert_eq!(
        program.call("warm", &[], AMPLE, 1).0.map_err(|fault| fault.kind),
        Err(FaultKind::UnknownHook)
    );
}

#[test]
fn chance_is_the_same_for_the_same_seed_and_text() {
    let program = program("hook mix(x, y, xs, t, s) { chance(s) }");
    let drawn = |seed, text: &str| {
        let inputs = [
            Value::Number(1.0),
            Value::Number(2.0),
            Value::List(Rc::new(vec![])),
            Value::Boolean(true),
            Value::String(text.into()),
        ];
        match program.call("mix", &inputs, AMPLE, seed).0 {
            Ok(Value::Number(drawn)) => drawn,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(drawn(1, "a"), drawn(1, "a"));
    assert!(drawn(1, "a") != drawn(2, "a") && drawn(1, "a") != drawn(1, "b"));
    let mean = (0..2000).map(|at| drawn(9, &at.to_string())).sum::<f64>() / 2000.0;
    assert!((mean - 0.5).abs() < 0.03, "{mean}");
}

/// A plain evaluator that walks the tree: what the bytecode must agree with.
struct Walker<'a> {
    source: &'a SourceFile,
}

type Scope = Vec<(String, Value)>;

impl Walker<'_> {
    fn block(&self, scope: &Scope, block: &Block) -> Option<Value> {
        let mut scope = scope.clone();
        for (_, name, value, _) in &block.lets {
            let value = self.node(&scope, value)?;
            scope.push((name.clone(), value));
        }
        self.node(&scope, &block.value)
    }

    fn number(&self, scope: &Scope, node: &Node) -> Option<f64> {
        match self.node(scope, node)? {
            Value::Number(number) => Some(number),
            other => panic!("{other:?}"),
        }
    }

    fn truth(&self, scope: &Scope, node: &Node) -> Option<bool> {
        Some(self.node(scope, node)? == Value::Boolean(true))
    }

    fn items(&self, scope: &Scope, node: &Node) -> Option<Rc<Vec<Value>>> {
        match self.node(scope, node)? {
            Value::List(items) => Some(items),
            other => panic!("{other:?}"),
        }
    }

    /// Nothing: a number without limits.
    fn node(&self, scope: &Scope, node: &Node) -> Option<Value> {
        let finite = |number: f64| number.is_finite().then_some(Value::Number(number + 0.0));
        let with = |name: &str, value: Value| {
            let mut scope = scope.clone();
            scope.push((name.to_owned(), value));
            scope
        };
        match &node.kind {
            Kind::Number(value, _, word) => {
                let scale = lex::UNITS.iter().find(|known| known.0 == *word).map_or(1.0, |known| known.1);
                finite(value * scale)
            }
            Kind::String(text) => Some(Value::String(text.as_str().into())),
            Kind::Boolean(truth) => Some(Value::Boolean(*truth)),
            Kind::Name(name) => {
                scope.iter().rev().find(|known| known.0 == *name).map(|known| known.1.clone())
            }
            Kind::List(items) => {
                let items: Option<Vec<Value>> = items.iter().map(|item| self.node(scope, item)).collect();
                Some(Value::List(Rc::new(items?)))
            }
            Kind::Record(fields) => {
                let mut values = BTreeMap::new();
                for (name, value) in fields {
                    values.insert(name.clone(), self.node(scope, value)?);
                }
                Some(Value::Record(values.into_values().collect()))
            }
            // Generated records have the fields a and b alone.
            Kind::Field(record, name) => match self.node(scope, record)? {
                Value::Record(values) => Some(values[usize::from(name == "b")].clone()),
                other => panic!("{other:?}"),
            },
            Kind::Call(name, given) => {
                if let Some(function) = self.source.functions.iter().find(|known| known.name == *name) {
                    let mut inner = Scope::new();
                    for (parameter, value) in function.parameters.iter().zip(given) {
                        inner.push((parameter.clone(), self.node(scope, value)?));
                    }
                    return self.block(&inner, &function.body);
                }
                let at = |at: usize| self.number(scope, &given[at]);
                match name.as_str() {
                    "min" => finite(at(0)?.min(at(1)?)),
                    "max" => finite(at(0)?.max(at(1)?)),
                    "abs" => finite(at(0)?.abs()),
                    "clamp" => finite(at(0)?.min(at(2)?).max(at(1)?)),
                    "count" => finite(self.items(scope, &given[0])?.len() as f64),
                    "sum" => {
                        let items = self.items(scope, &given[0])?;
                        finite(items.iter().fold(0.0, |sum, item| match item {
                            Value::Number(number) => sum + number,
                            other => panic!("{other:?}"),
                        }))
                    }
                    other => panic!("{other}"),
                }
            }
            Kind::Not(inner) => Some(Value::Boolean(!self.truth(scope, inner)?)),
            Kind::Minus(inner) => finite(-self.number(scope, inner)?),
            Kind::Binary(binary, left, right) => {
                let truth = match binary {
                    Binary::And => self.truth(scope, left)? && self.truth(scope, right)?,
                    Binary::Or => self.truth(scope, left)? || self.truth(scope, right)?,
                    Binary::Equal => self.node(scope, left)? == self.node(scope, right)?,
                    Binary::Differs => self.node(scope, left)? != self.node(scope, right)?,
                    Binary::Less => self.number(scope, left)? < self.number(scope, right)?,
                    Binary::LessEqual => self.number(scope, left)? <= self.number(scope, right)?,
                    Binary::More => self.number(scope, left)? > self.number(scope, right)?,
                    Binary::MoreEqual => self.number(scope, left)? >= self.number(scope, right)?,
                    Binary::Add => return finite(self.number(scope, left)? + self.number(scope, right)?),
                    Binary::Subtract => {
                        return finite(self.number(scope, left)? - self.number(scope, right)?)
                    }
                    Binary::Multiply => {
                        return finite(self.number(scope, left)? * self.number(scope, right)?)
                    }
                    Binary::Divide => return finite(self.number(scope, left)? / self.number(scope, right)?),
                };
                Some(Value::Boolean(truth))
            }
            Kind::If(condition, yes, no) => {
                self.block(scope, if self.truth(scope, condition)? { yes } else { no })
            }
            Kind::Match(value, arms, rest) => {
                let value = self.node(scope, value)?;
                for (pattern, block) in arms {
                    if self.node(scope, pattern)? == value {
                        return self.block(scope, block);
                    }
                }
                self.block(scope, rest)
            }
            Kind::Fold { item, list, sum, start, next } => {
                let items = self.items(scope, list)?;
                let mut gathered = self.node(scope, start)?;
                for value in items.iter() {
                    let mut inner = with(item, value.clone());
                    inner.push((sum.clone(), gathered));
                    gathered = self.block(&inner, next)?;
                }
                Some(gathered)
            }
            Kind::Each { next, item, list, filter } => {
                let mut gathered = Vec::new();
                for value in self.items(scope, list)?.iter() {
                    let inner = with(item, value.clone());
                    let kept = match filter {
                        Some(filter) => self.truth(&inner, filter)?,
                        None => true,
                    };
                    if kept {
                        gathered.push(self.node(&inner, next)?);
                    }
                }
                Some(Value::List(Rc::new(gathered)))
            }
        }
    }
}

/// Programs drawn by chance: text of a given type, from names that are known.
struct Writer {
    chance: Rand64,
    numbers: Vec<String>,
    fresh: usize,
}

impl Writer {
    fn draw(&mut self, most: u64) -> u64 {
        self.chance.rand_range(0..most)
    }

    fn name(&mut self) -> String {
        self.fresh += 1;
        format!("n{}", self.fresh)
    }

    /// With one more name known within.
    fn knowing(&mut self, name: &str, write: impl FnOnce(&mut Self) -> String) -> String {
        self.numbers.push(name.to_owned());
        let text = write(self);
        self.numbers.pop();
        text
    }

    fn number(&mut self, depth: u32) -> String {
        if depth == 0 {
            let at = self.draw(self.numbers.len() as u64 + 2) as usize;
            return match self.numbers.get(at) {
                Some(name) => name.clone(),
                None => format!("{}", self.draw(2000) as f64 / 8.0),
            };
        }
        let one = depth - 1;
        match self.draw(14) {
            0 => format!("({} + {})", self.number(one), self.number(one)),
            1 => format!("{} - {}", self.number(one), self.number(0)),
            2 => format!("({}) * {}", self.number(one), self.number(0)),
            3 => format!("({} / ({}))", self.number(one), self.number(one)),
            4 => format!("-({})", self.number(one)),
            5 => {
                format!("(if {} {{ {} }} else {{ {} }})", self.truth(one), self.number(one), self.number(one))
            }
            6 => format!(
                "(match {} {{\n 1 => {{ {} }}\n _ => {{ {} }}\n}})",
                self.number(0),
                self.number(one),
                self.number(one)
            ),
            7 => format!("min({}, {})", self.number(one), self.number(one)),
            8 => format!("clamp({}, {}, {})", self.number(one), self.number(one), self.number(one)),
            9 => format!("sum({})", self.list(one)),
            10 => format!("count({})", self.list(one)),
            11 => {
                let (item, sum, list, start) = (self.name(), self.name(), self.list(one), self.number(one));
                let next = self.knowing(&item, |writer| writer.knowing(&sum, |writer| writer.number(one)));
                format!("(for {item} in {list} with {sum} = {start} {{ {next} }})")
            }
            12 => format!(
                "{{ b: {}, a: {} }}.{}",
                self.number(one),
                self.number(one),
                ["a", "b"][self.draw(2) as usize]
            ),
            _ => format!("helper({}, {})", self.number(one), self.number(one)),
        }
    }

    fn truth(&mut self, depth: u32) -> String {
        if depth == 0 {
            return ["true", "false", "t"][self.draw(3) as usize].into();
        }
        let one = depth - 1;
        match self.draw(6) {
            0 => format!("({} and {})", self.truth(one), self.truth(one)),
            1 => format!("({} or {})", self.truth(one), self.truth(one)),
            2 => format!("not {}", self.truth(0)),
            3 => format!("({} < {})", self.number(one), self.number(one)),
            4 => format!("({} == {})", self.list(one), self.list(one)),
            _ => format!("({} >= {})", self.number(one), self.number(one)),
        }
    }

    fn list(&mut self, depth: u32) -> String {
        if depth == 0 {
            return "xs".into();
        }
        let one = depth - 1;
        match self.draw(3) {
            0 => format!("[{}, {}]", self.number(one), self.number(one)),
            1 => {
                let (item, list) = (self.name(), self.list(one));
                let (next, filter) = (
                    self.knowing(&item, |writer| writer.number(one)),
                    self.knowing(&item, |writer| writer.truth(one)),
                );
                format!("[{next} for {item} in {list} if {filter}]")
            }
            _ => "xs".into(),
        }
    }

    fn source(&mut self) -> String {
        self.numbers = vec!["a".into(), "c".into()];
        let depth = 1 + self.draw(2) as u32;
        // Calls of itself are no programs: the helper is written without.
        let helper = loop {
            let text = self.number(depth);
            if !text.contains("helper") && !text.contains(['t', 'x']) {
                break text;
            }
        };
        self.numbers = vec!["x".into(), "y".into()];
        let depth = 1 + self.draw(4) as u32;
        let kept = self.number(depth);
        let value = self.knowing("kept", |writer| writer.number(depth));
        let uses = "helper(x, y)";
        format!(
            "# drawn\nfn helper(a, c) {{\n    {helper}\n}}\n\nhook mix(x, y, xs, t, s) {{\n    let kept = {kept}\n    # and then\n    \
             if t {{ {value} }} else {{ {uses} }}\n}}\n"
        )
    }
}

#[test]
fn the_machine_agrees_with_a_plain_walk_and_formatting_keeps_the_meaning() {
    let (mut values, mut faults) = (0, 0);
    for seed in 0..1500 {
        let mut writer = Writer { chance: Rand64::new(seed), numbers: Vec::new(), fresh: 0 };
        let text = writer.source();
        let source = parse(&text).unwrap_or_else(|diagnostics| panic!("{}\n{text}", diagnostics[0]));
        let program = compile(&source, &hook_points())
            .unwrap_or_else(|diagnostics| panic!("{}\n{text}", diagnostics[0]));
        let shown = format(&source);
        let again = parse(&shown).unwrap_or_else(|diagnostics| panic!("{}\n{shown}", diagnostics[0]));
        assert_eq!(format(&again), shown);
        let other = compile(&again, &hook_points()).unwrap();
        let numbers = Value::List(Rc::new([3.0, -1.5, 0.0].map(Value::Number).to_vec()));
        for truth in [true, false] {
            let inputs = [
                Value::Number(2.0),
                Value::Number(-0.5),
                numbers.clone(),
                Value::Boolean(truth),
                Value::String("s".into()),
            ];
            let (result, usage) = program.call("mix", &inputs, AMPLE, seed as u64);
            let hook = &source.hooks[0];
            let scope: Scope = hook.parameters.iter().cloned().zip(inputs.iter().cloned()).collect();
            let walked = Walker { source: &source }.block(&scope, &hook.body);
            let kind = |result: Result<Value, Fault>| result.map_err(|fault| fault.kind);
            let result = kind(result);
            match walked {
                Some(value) => {
                    assert_eq!(result, Ok(value), "seed {seed}\n{text}");
                    values += 1;
                }
                None => {
                    assert_eq!(result, Err(FaultKind::NoNumber), "seed {seed}\n{text}");
                    faults += 1;
                }
            }
            let (same, also) = other.call("mix", &inputs, AMPLE, seed as u64);
            assert_eq!((kind(same), also), (result, usage), "seed {seed}\n{shown}");
        }
    }
    assert!(values > 1000 && faults > 10, "{values} values, {faults} faults");
}

/// Sources that are none: pieces of one in another order, changed letters, words by chance.
#[test]
fn nothing_that_is_written_is_a_panic_and_nothing_runs_past_its_fuel() {
    let words = [
        "hook", "fn", "warm", "(", ")", "{", "}", "s", "let", "=", "1", "s.age", "\n", "if", "else", "for",
        "in", "with", "[", "]", ",", "and", "not", "-", "3 ms", "\"x\"", "match", "_", "=>", ":", "%", "#",
        "test", "count", "\\",
    ];
    let mut chance = Rand64::new(5);
    let limits = Limits { fuel: 2_000, memory_bytes: 10_000 };
    for round in 0..6000 {
        let mut text: String = HOOKS.into();
        if round % 2 == 0 {
            let count = chance.rand_range(0..40);
            text = (0..count)
                .map(|_| format!("{} ", words[chance.rand_range(0..words.len() as u64) as usize]))
                .collect();
        } else {
            for _ in 0..chance.rand_range(1..6) {
                let at = chance.rand_range(0..text.len() as u64) as usize;
                let word = words[chance.rand_range(0..words.len() as u64) as usize];
                match chance.rand_range(0..2) {
                    0 => text.insert_str(at, word),
                    _ => drop(text.remove(at)),
                }
            }
        }
        let Ok(source) = parse(&text) else { continue };
        format(&source);
        if let Ok(program) = compile(&source, &hook_points()) {
            let (_, usage) = program.call("warm", &[a_server(3.0, 0.1, "hal-a")], limits, 1);
            assert!(usage.fuel <= limits.fuel + 1, "{usage:?}");
            program.run_tests(limits, 1);
        }
    }
}

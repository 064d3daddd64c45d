//! Tests of the language: results of hooks, diagnostics, limits, and agreement with a reference interpreter.

use std::collections::BTreeMap;
use std::rc::Rc;

use oorandom::Rand64;
use rstest::rstest;

use super::*;
use crate::syntax::{BinaryOperator, Block, Expression, ExpressionKind};

const AMPLE_LIMITS: Limits = Limits { fuel: 1_000_000, memory_bytes: 1 << 24 };

fn dimensionless() -> Type {
    Type::Number(Unit::DIMENSIONLESS)
}

fn server_type() -> Type {
    let fields = [
        ("age", Type::Number(Unit::TIME)),
        ("answer_time", Type::Number(Unit::TIME)),
        ("locality", Type::String),
        ("rate", Type::Number(Unit::RATE)),
        ("errors", dimensionless()),
    ];
    Type::Record(fields.into_iter().map(|(name, field_type)| (name.to_owned(), field_type)).collect())
}

fn hook_points() -> Vec<HookPoint> {
    let hook_point = |name: &str, inputs: &[(&str, Type)], output| HookPoint {
        name: name.into(),
        inputs: inputs.iter().map(|(name, input_type)| ((*name).to_owned(), input_type.clone())).collect(),
        output,
    };
    let numbers = Type::List(Some(Box::new(dimensionless())));
    vec![
        hook_point("warm", &[("server", server_type())], Type::Boolean),
        hook_point(
            "score",
            &[("server", server_type()), ("others", Type::List(Some(Box::new(server_type()))))],
            dimensionless(),
        ),
        hook_point(
            "mix",
            &[
                ("x", dimensionless()),
                ("y", dimensionless()),
                ("xs", numbers),
                ("t", Type::Boolean),
                ("s", Type::String),
            ],
            dimensionless(),
        ),
    ]
}

fn server_value(age: f64, answer_time: f64, locality: &str) -> Value {
    // In the order of the field names: age, answer_time, errors, locality, rate.
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
fn hooks_with_units_lists_and_tests_run() {
    let program = program(HOOKS);
    let warm = |age, answer_time| {
        program.call("warm", &[server_value(age, answer_time, "hal-a")], AMPLE_LIMITS, 1).0
    };
    assert_eq!(warm(30.0, 0.3), Ok(Value::Boolean(true)));
    assert_eq!(warm(30.0, 0.5), Ok(Value::Boolean(false)));
    assert_eq!(warm(130.0, 0.5), Ok(Value::Boolean(true)));
    let others = Value::List(Rc::new(vec![
        server_value(9.0, 0.2, "hal-a"),
        server_value(9.0, 0.4, "hal-a"),
        server_value(9.0, 9.0, "hal-b"),
    ]));
    let score = |locality| {
        program.call("score", &[server_value(9.0, 0.6, locality), others.clone()], AMPLE_LIMITS, 1).0
    };
    assert!(matches!(score("hal-a"), Ok(Value::Number(x)) if (x - 0.5).abs() < 1e-12));
    assert_eq!(score("hal-b"), Ok(Value::Number(0.52)));
    assert_eq!(program.run_tests(AMPLE_LIMITS, 1), [("a young server is not warm", Ok(true))]);
    assert_eq!(program.hook_names().collect::<Vec<_>>(), ["score", "warm"]);
}

#[rstest]
#[case::mismatched_units("hook warm(s) { s.age > 3 }", "a time and a number without a unit", "1:22")]
#[case::sum_of_mismatched_units(
    "hook mix(x, y, xs, t, s) { number(3 s + 1 inv/s) }",
    "a time and a rate",
    "1:39"
)]
#[case::return_type("hook warm(s) { s.age }", "returns a time", "1:17")]
#[case::unknown_field("hook warm(s) { s.speed > 3 }", "unknown field \"speed\"", "1:17")]
#[case::unknown_name("hook warm(s) { server.age > 3 s }", "unknown name \"server\"", "1:16")]
#[case::unknown_hook_point("hook cool(s) { true }", "unknown hook point \"cool\"", "1:1")]
#[case::parameter_count("hook warm(s, o) { true }", "takes the parameters server", "1:1")]
#[case::recursion(
    "fn f(x) { g(x) }\nfn g(x) { f(x) }\nhook warm(s) { f(s) }",
    "calls itself through warm, f, g",
    "2:11"
)]
#[case::if_branches(
    "hook warm(s) { if true { true } else { 3 } }",
    "mismatched types of the if branches",
    "1:16"
)]
#[case::list_items("hook warm(s) { count([1, \"a\"]) > 0 }", "mismatched types of list items", "1:26")]
#[case::match_pattern(
    "hook warm(s) { match s.locality { 3 => { true }\n _ => { false } } }",
    "mismatched types of the value and the pattern",
    "1:35"
)]
#[case::order_of_strings("hook warm(s) { s.locality < \"b\" }", "\"<\" is not defined for a string", "1:27")]
#[case::unused_function("fn f(x) { x }\nhook warm(s) { true }", "unused function \"f\"", "1:1")]
#[case::duplicate_definition(
    "hook warm(s) { true }\nhook warm(s) { false }",
    "duplicate definition of \"warm\"",
    "2:1"
)]
#[case::builtin_arguments(
    "hook warm(s) { min(1 s, 2) > 1 s }",
    "invalid arguments of min: a time; a number without a unit",
    "1:16"
)]
#[case::test_without_boolean("test \"x\" { 3 }", "evaluates to a number without a unit", "1:1")]
fn compile_errors_are_reported_with_their_position(
    #[case] text: &str,
    #[case] message: &str,
    #[case] position: &str,
) {
    let diagnostics = compile(&parse(text).unwrap(), &hook_points()).unwrap_err();
    let found: Vec<String> = diagnostics.iter().map(Diagnostic::to_string).collect();
    assert!(
        found.iter().any(|line| line.contains(message) && line.starts_with(&format!("{position}:"))),
        "{found:?}"
    );
}

#[test]
fn the_parser_reports_several_errors_with_position_and_source_line() {
    let text =
        "hook warm(s) { s.age > }\n\nfn broken( { 3 }\n\nhook score(s, o) {\n    let x = 3 ?\n    x\n}\n";
    let found: Vec<String> = parse(text).unwrap_err().iter().map(Diagnostic::to_string).collect();
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found[0].starts_with("1:24: expected a value, found \"}\"") && found[0].contains("s.age >"));
    assert!(found[1].starts_with("3:12: expected a name, found \"{\""), "{found:?}");
    assert!(found[2].contains("unknown character '?'") && found[2].contains("let x = 3 ?"), "{found:?}");
    let deeply_nested = format!("hook warm(s) {{ {}true{} }}", "(".repeat(200), ")".repeat(200));
    assert!(parse(&deeply_nested).unwrap_err()[0].message.contains("nesting"));
    assert!(parse(&" ".repeat(2 << 20)).unwrap_err()[0].message.contains("bytes"));
}

#[rstest]
#[case::nested_loops(
    "mix",
    "for a in range(100) with n = 0 { for b in range(100) with m = n { m + 1 } }",
    FaultKind::OutOfFuel
)]
#[case::large_range("mix", "count(range(10000000))", FaultKind::OutOfFuel)]
#[case::many_strings("mix", "count([s + s for i in range(900)])", FaultKind::OutOfMemory)]
#[case::division_by_zero("mix", "x / (y - y)", FaultKind::NoNumber)]
#[case::infinite_number(
    "mix",
    "for i in xs with n = 1 { n * 1000000000000000000000000000000000000000000 * n }",
    FaultKind::NoNumber
)]
fn a_call_that_exceeds_its_limits_or_has_no_finite_result_faults(
    #[case] hook: &str,
    #[case] body: &str,
    #[case] kind: FaultKind,
) {
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
fn inputs_of_other_types_and_unknown_hooks_are_faults() {
    let program = program("hook mix(x, y, xs, t, s) { x }");
    let kind = |inputs: &[Value]| program.call("mix", inputs, AMPLE_LIMITS, 1).0.map_err(|fault| fault.kind);
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
        program.call("warm", &[], AMPLE_LIMITS, 1).0.map_err(|fault| fault.kind),
        Err(FaultKind::UnknownHook)
    );
}

#[test]
fn chance_is_the_same_for_the_same_seed_and_string() {
    let program = program("hook mix(x, y, xs, t, s) { chance(s) }");
    let drawn = |seed, text: &str| {
        let inputs = [
            Value::Number(1.0),
            Value::Number(2.0),
            Value::List(Rc::new(vec![])),
            Value::Boolean(true),
            Value::String(text.into()),
        ];
        match program.call("mix", &inputs, AMPLE_LIMITS, seed).0 {
            Ok(Value::Number(drawn)) => drawn,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(drawn(1, "a"), drawn(1, "a"));
    assert!(drawn(1, "a") != drawn(2, "a") && drawn(1, "a") != drawn(1, "b"));
    let mean = (0..2000).map(|key| drawn(9, &key.to_string())).sum::<f64>() / 2000.0;
    assert!((mean - 0.5).abs() < 0.03, "{mean}");
}

/// Evaluates the syntax tree directly; the bytecode machine must return the same results.
struct TreeInterpreter<'a> {
    source: &'a SourceFile,
}

type Scope = Vec<(String, Value)>;

impl TreeInterpreter<'_> {
    fn block(&self, scope: &Scope, block: &Block) -> Option<Value> {
        let mut scope = scope.clone();
        for (_, name, value, _) in &block.lets {
            let value = self.expression(&scope, value)?;
            scope.push((name.clone(), value));
        }
        self.expression(&scope, &block.value)
    }

    fn number(&self, scope: &Scope, expression: &Expression) -> Option<f64> {
        match self.expression(scope, expression)? {
            Value::Number(number) => Some(number),
            other => panic!("{other:?}"),
        }
    }

    fn boolean(&self, scope: &Scope, expression: &Expression) -> Option<bool> {
        Some(self.expression(scope, expression)? == Value::Boolean(true))
    }

    fn items(&self, scope: &Scope, expression: &Expression) -> Option<Rc<Vec<Value>>> {
        match self.expression(scope, expression)? {
            Value::List(items) => Some(items),
            other => panic!("{other:?}"),
        }
    }

    /// Evaluates an expression; `None` stands for a fault because a number isn't finite.
    fn expression(&self, scope: &Scope, expression: &Expression) -> Option<Value> {
        let finite = |number: f64| number.is_finite().then_some(Value::Number(number + 0.0));
        let scope_with = |name: &str, value: Value| {
            let mut scope = scope.clone();
            scope.push((name.to_owned(), value));
            scope
        };
        match &expression.kind {
            ExpressionKind::Number(value, _, suffix) => {
                let factor = lex::UNITS.iter().find(|known| known.0 == *suffix).map_or(1.0, |known| known.1);
                finite(value * factor)
            }
            ExpressionKind::String(value) => Some(Value::String(value.as_str().into())),
            ExpressionKind::Boolean(value) => Some(Value::Boolean(*value)),
            ExpressionKind::Name(name) => {
                scope.iter().rev().find(|known| known.0 == *name).map(|known| known.1.clone())
            }
            ExpressionKind::List(items) => {
                let items: Option<Vec<Value>> =
                    items.iter().map(|item| self.expression(scope, item)).collect();
                Some(Value::List(Rc::new(items?)))
            }
            ExpressionKind::Record(fields) => {
                let mut values = BTreeMap::new();
                for (name, value) in fields {
                    values.insert(name.clone(), self.expression(scope, value)?);
                }
                Some(Value::Record(values.into_values().collect()))
            }
            // Generated records have only the fields a and b.
            ExpressionKind::Field(record, name) => match self.expression(scope, record)? {
                Value::Record(values) => Some(values[usize::from(name == "b")].clone()),
                other => panic!("{other:?}"),
            },
            ExpressionKind::Call(name, arguments) => {
                if let Some(function) = self.source.functions.iter().find(|known| known.name == *name) {
                    let mut inner = Scope::new();
                    for (parameter, value) in function.parameters.iter().zip(arguments) {
                        inner.push((parameter.clone(), self.expression(scope, value)?));
                    }
                    return self.block(&inner, &function.body);
                }
                let argument = |index: usize| self.number(scope, &arguments[index]);
                match name.as_str() {
                    "min" => finite(argument(0)?.min(argument(1)?)),
                    "max" => finite(argument(0)?.max(argument(1)?)),
                    "abs" => finite(argument(0)?.abs()),
                    "clamp" => finite(argument(0)?.min(argument(2)?).max(argument(1)?)),
                    "count" => finite(self.items(scope, &arguments[0])?.len() as f64),
                    "sum" => {
                        let items = self.items(scope, &arguments[0])?;
                        finite(items.iter().fold(0.0, |sum, item| match item {
                            Value::Number(number) => sum + number,
                            other => panic!("{other:?}"),
                        }))
                    }
                    other => panic!("{other}"),
                }
            }
            ExpressionKind::Not(operand) => Some(Value::Boolean(!self.boolean(scope, operand)?)),
            ExpressionKind::Negate(operand) => finite(-self.number(scope, operand)?),
            ExpressionKind::Binary(operator, left, right) => {
                let result = match operator {
                    BinaryOperator::And => self.boolean(scope, left)? && self.boolean(scope, right)?,
                    BinaryOperator::Or => self.boolean(scope, left)? || self.boolean(scope, right)?,
                    BinaryOperator::Equal => {
                        self.expression(scope, left)? == self.expression(scope, right)?
                    }
                    BinaryOperator::NotEqual => {
                        self.expression(scope, left)? != self.expression(scope, right)?
                    }
                    BinaryOperator::Less => self.number(scope, left)? < self.number(scope, right)?,
                    BinaryOperator::LessEqual => self.number(scope, left)? <= self.number(scope, right)?,
                    BinaryOperator::Greater => self.number(scope, left)? > self.number(scope, right)?,
                    BinaryOperator::GreaterEqual => self.number(scope, left)? >= self.number(scope, right)?,
                    BinaryOperator::Add => {
                        return finite(self.number(scope, left)? + self.number(scope, right)?)
                    }
                    BinaryOperator::Subtract => {
                        return finite(self.number(scope, left)? - self.number(scope, right)?)
                    }
                    BinaryOperator::Multiply => {
                        return finite(self.number(scope, left)? * self.number(scope, right)?)
                    }
                    BinaryOperator::Divide => {
                        return finite(self.number(scope, left)? / self.number(scope, right)?)
                    }
                };
                Some(Value::Boolean(result))
            }
            ExpressionKind::If(condition, then_block, else_block) => {
                self.block(scope, if self.boolean(scope, condition)? { then_block } else { else_block })
            }
            ExpressionKind::Match(value, arms, default) => {
                let value = self.expression(scope, value)?;
                for (pattern, block) in arms {
                    if self.expression(scope, pattern)? == value {
                        return self.block(scope, block);
                    }
                }
                self.block(scope, default)
            }
            ExpressionKind::Fold { item, list, accumulator, initial, body } => {
                let items = self.items(scope, list)?;
                let mut result = self.expression(scope, initial)?;
                for value in items.iter() {
                    let mut inner = scope_with(item, value.clone());
                    inner.push((accumulator.clone(), result));
                    result = self.block(&inner, body)?;
                }
                Some(result)
            }
            ExpressionKind::ListComprehension { element, item, list, filter } => {
                let mut elements = Vec::new();
                for value in self.items(scope, list)?.iter() {
                    let inner = scope_with(item, value.clone());
                    let included = match filter {
                        Some(filter) => self.boolean(&inner, filter)?,
                        None => true,
                    };
                    if included {
                        elements.push(self.expression(&inner, element)?);
                    }
                }
                Some(Value::List(Rc::new(elements)))
            }
        }
    }
}

/// Generates random programs: source text of a given type that uses the variables in scope.
struct ProgramGenerator {
    rng: Rand64,
    variables: Vec<String>,
    last_variable: usize,
}

impl ProgramGenerator {
    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.rand_range(0..limit)
    }

    fn new_variable(&mut self) -> String {
        self.last_variable += 1;
        format!("n{}", self.last_variable)
    }

    /// Generates text with one more variable in scope.
    fn with_variable(&mut self, name: &str, generate: impl FnOnce(&mut Self) -> String) -> String {
        self.variables.push(name.to_owned());
        let text = generate(self);
        self.variables.pop();
        text
    }

    fn number(&mut self, depth: u32) -> String {
        if depth == 0 {
            let index = self.random_below(self.variables.len() as u64 + 2) as usize;
            return match self.variables.get(index) {
                Some(name) => name.clone(),
                None => format!("{}", self.random_below(2000) as f64 / 8.0),
            };
        }
        let inner_depth = depth - 1;
        match self.random_below(14) {
            0 => format!("({} + {})", self.number(inner_depth), self.number(inner_depth)),
            1 => format!("{} - {}", self.number(inner_depth), self.number(0)),
            2 => format!("({}) * {}", self.number(inner_depth), self.number(0)),
            3 => format!("({} / ({}))", self.number(inner_depth), self.number(inner_depth)),
            4 => format!("-({})", self.number(inner_depth)),
            5 => {
                format!(
                    "(if {} {{ {} }} else {{ {} }})",
                    self.boolean(inner_depth),
                    self.number(inner_depth),
                    self.number(inner_depth)
                )
            }
            6 => format!(
                "(match {} {{\n 1 => {{ {} }}\n _ => {{ {} }}\n}})",
                self.number(0),
                self.number(inner_depth),
                self.number(inner_depth)
            ),
            7 => format!("min({}, {})", self.number(inner_depth), self.number(inner_depth)),
            8 => format!(
                "clamp({}, {}, {})",
                self.number(inner_depth),
                self.number(inner_depth),
                self.number(inner_depth)
            ),
            9 => format!("sum({})", self.list(inner_depth)),
            10 => format!("count({})", self.list(inner_depth)),
            11 => {
                let (item, accumulator, list, initial) = (
                    self.new_variable(),
                    self.new_variable(),
                    self.list(inner_depth),
                    self.number(inner_depth),
                );
                let body = self.with_variable(&item, |generator| {
                    generator.with_variable(&accumulator, |generator| generator.number(inner_depth))
                });
                format!("(for {item} in {list} with {accumulator} = {initial} {{ {body} }})")
            }
            12 => format!(
                "{{ b: {}, a: {} }}.{}",
                self.number(inner_depth),
                self.number(inner_depth),
                ["a", "b"][self.random_below(2) as usize]
            ),
            _ => format!("helper({}, {})", self.number(inner_depth), self.number(inner_depth)),
        }
    }

    fn boolean(&mut self, depth: u32) -> String {
        if depth == 0 {
            return ["true", "false", "t"][self.random_below(3) as usize].into();
        }
        let inner_depth = depth - 1;
        match self.random_below(6) {
            0 => format!("({} and {})", self.boolean(inner_depth), self.boolean(inner_depth)),
            1 => format!("({} or {})", self.boolean(inner_depth), self.boolean(inner_depth)),
            2 => format!("not {}", self.boolean(0)),
            3 => format!("({} < {})", self.number(inner_depth), self.number(inner_depth)),
            4 => format!("({} == {})", self.list(inner_depth), self.list(inner_depth)),
            _ => format!("({} >= {})", self.number(inner_depth), self.number(inner_depth)),
        }
    }

    fn list(&mut self, depth: u32) -> String {
        if depth == 0 {
            return "xs".into();
        }
        let inner_depth = depth - 1;
        match self.random_below(3) {
            0 => format!("[{}, {}]", self.number(inner_depth), self.number(inner_depth)),
            1 => {
                let (item, list) = (self.new_variable(), self.list(inner_depth));
                let (element, filter) = (
                    self.with_variable(&item, |generator| generator.number(inner_depth)),
                    self.with_variable(&item, |generator| generator.boolean(inner_depth)),
                );
                format!("[{element} for {item} in {list} if {filter}]")
            }
            _ => "xs".into(),
        }
    }

    fn source(&mut self) -> String {
        self.variables = vec!["a".into(), "c".into()];
        let depth = 1 + self.random_below(2) as u32;
        // The helper must not call itself, since recursion is an error, and it has no variables t and xs.
        let helper_body = loop {
            let text = self.number(depth);
            if !text.contains("helper") && !text.contains(['t', 'x']) {
                break text;
            }
        };
        self.variables = vec!["x".into(), "y".into()];
        let depth = 1 + self.random_below(4) as u32;
        let kept_value = self.number(depth);
        let value = self.with_variable("kept", |generator| generator.number(depth));
        let otherwise = "helper(x, y)";
        format!(
            "# drawn\nfn helper(a, c) {{\n    {helper_body}\n}}\n\nhook mix(x, y, xs, t, s) {{\n    let kept = {kept_value}\n    # and then\n    \
             if t {{ {value} }} else {{ {otherwise} }}\n}}\n"
        )
    }
}

#[test]
fn the_machine_agrees_with_a_tree_interpreter_and_formatting_keeps_the_meaning() {
    let (mut values, mut faults) = (0, 0);
    for seed in 0..1500 {
        let mut generator =
            ProgramGenerator { rng: Rand64::new(seed), variables: Vec::new(), last_variable: 0 };
        let text = generator.source();
        let source = parse(&text).unwrap_or_else(|diagnostics| panic!("{}\n{text}", diagnostics[0]));
        let program = compile(&source, &hook_points())
            .unwrap_or_else(|diagnostics| panic!("{}\n{text}", diagnostics[0]));
        let formatted = format(&source);
        let reparsed =
            parse(&formatted).unwrap_or_else(|diagnostics| panic!("{}\n{formatted}", diagnostics[0]));
        assert_eq!(format(&reparsed), formatted);
        let recompiled = compile(&reparsed, &hook_points()).unwrap();
        let numbers = Value::List(Rc::new([3.0, -1.5, 0.0].map(Value::Number).to_vec()));
        for condition in [true, false] {
            let inputs = [
                Value::Number(2.0),
                Value::Number(-0.5),
                numbers.clone(),
                Value::Boolean(condition),
                Value::String("s".into()),
            ];
            let (result, usage) = program.call("mix", &inputs, AMPLE_LIMITS, seed as u64);
            let hook = &source.hooks[0];
            let scope: Scope = hook.parameters.iter().cloned().zip(inputs.iter().cloned()).collect();
            let expected = TreeInterpreter { source: &source }.block(&scope, &hook.body);
            let kind = |result: Result<Value, Fault>| result.map_err(|fault| fault.kind);
            let result = kind(result);
            match expected {
                Some(value) => {
                    assert_eq!(result, Ok(value), "seed {seed}\n{text}");
                    values += 1;
                }
                None => {
                    assert_eq!(result, Err(FaultKind::NoNumber), "seed {seed}\n{text}");
                    faults += 1;
                }
            }
            let (other_result, other_usage) = recompiled.call("mix", &inputs, AMPLE_LIMITS, seed as u64);
            assert_eq!((kind(other_result), other_usage), (result, usage), "seed {seed}\n{formatted}");
        }
    }
    assert!(values > 1000 && faults > 10, "{values} values, {faults} faults");
}

/// Mostly invalid sources: random tokens, and a valid source with inserted tokens and deleted characters.
#[test]
fn random_sources_cause_no_panic_and_calls_stay_within_their_fuel() {
    let tokens = [
        "hook", "fn", "warm", "(", ")", "{", "}", "s", "let", "=", "1", "s.age", "\n", "if", "else", "for",
        "in", "with", "[", "]", ",", "and", "not", "-", "3 ms", "\"x\"", "match", "_", "=>", ":", "%", "#",
        "test", "count", "\\",
    ];
    let mut rng = Rand64::new(5);
    let limits = Limits { fuel: 2_000, memory_bytes: 10_000 };
    for round in 0..6000 {
        let mut text: String = HOOKS.into();
        if round % 2 == 0 {
            let count = rng.rand_range(0..40);
            text = (0..count)
                .map(|_| format!("{} ", tokens[rng.rand_range(0..tokens.len() as u64) as usize]))
                .collect();
        } else {
            for _ in 0..rng.rand_range(1..6) {
                let index = rng.rand_range(0..text.len() as u64) as usize;
                let token = tokens[rng.rand_range(0..tokens.len() as u64) as usize];
                match rng.rand_range(0..2) {
                    0 => text.insert_str(index, token),
                    _ => drop(text.remove(index)),
                }
            }
        }
        let Ok(source) = parse(&text) else { continue };
        format(&source);
        if let Ok(program) = compile(&source, &hook_points()) {
            let (_, usage) = program.call("warm", &[server_value(3.0, 0.1, "hal-a")], limits, 1);
            assert!(usage.fuel <= limits.fuel + 1, "{usage:?}");
            program.run_tests(limits, 1);
        }
    }
}

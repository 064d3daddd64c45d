//! Infers types and units, and compiles. A function is compiled once for each set of types that it is given, so that it
//! needs no word about them; what nobody calls is not looked at beyond its words, and said to be unused.

use std::collections::{BTreeMap, BTreeSet};

use crate::lex::UNITS;
use crate::machine::{Builtin, Chunk, Instruction, Value};
use crate::syntax::{
    diagnostic, show, Binary, Block, Diagnostic, Function, Kind, Node, Position, SourceFile,
};
use crate::types::{Type, Unit};

/// A position in the program at which a hook is asked: what it is given, and what it is to give.
#[derive(Clone, Debug, PartialEq)]
pub struct HookPoint {
    pub name: String,
    pub inputs: Vec<(String, Type)>,
    pub output: Type,
}

/// A compiled source.
#[derive(Clone, Debug)]
pub struct Program {
    pub(crate) chunks: Vec<Chunk>,
    pub(crate) hooks: BTreeMap<String, (usize, Vec<Type>)>,
    /// Cases by name.
    pub(crate) tests: Vec<(String, usize)>,
}

/// Nodes that are looked at, whatever calls what.
const MOST: usize = 200_000;

struct Checker<'a> {
    source: &'a SourceFile,
    points: &'a [HookPoint],
    chunks: Vec<Chunk>,
    /// By name and what it is given.
    done: BTreeMap<(String, Vec<Type>), (usize, Type)>,
    under_way: Vec<String>,
    used: BTreeSet<String>,
    diagnostics: Vec<Diagnostic>,
    looked: usize,
}

/// One body that is being compiled.
struct Body {
    code: Vec<(Instruction, Position)>,
    names: Vec<(String, u16, Type)>,
    slots: u16,
}

type Checked = Result<Type, Diagnostic>;

/// Checks a source against the points that it may hook into. Errors: all that does not fit, by position.
pub fn compile(source: &SourceFile, points: &[HookPoint]) -> Result<Program, Vec<Diagnostic>> {
    let mut checker = Checker {
        source,
        points,
        chunks: Vec::new(),
        done: BTreeMap::new(),
        under_way: Vec::new(),
        used: BTreeSet::new(),
        diagnostics: Vec::new(),
        looked: 0,
    };
    checker.names();
    let mut hooks = BTreeMap::new();
    for hook in &source.hooks {
        if let Some((chunk, inputs)) = checker.hook(hook) {
            hooks.insert(hook.name.clone(), (chunk, inputs));
        }
    }
    let mut tests = Vec::new();
    for (position, name, body, _) in &source.tests {
        match checker.body(&[], &[], body) {
            Ok((chunk, Type::Boolean)) => tests.push((name.clone(), chunk)),
            Ok((_, other)) => {
                let what = format!("the case comes to {other}");
                checker.diagnostics.push(diagnostic(
                    *position,
                    what,
                    "end it with something that is true or false",
                ));
            }
            Err(found) => checker.diagnostics.push(found),
        }
    }
    let unused = source.functions.iter().filter(|function| !checker.used.contains(&function.name));
    let unused: Vec<Diagnostic> = unused
        .map(|function| {
            diagnostic(
                function.position,
                format!("nobody calls {:?}", function.name),
                "call it, or take it out",
            )
        })
        .collect();
    checker.diagnostics.extend(unused);
    if checker.diagnostics.is_empty() {
        return Ok(Program { chunks: checker.chunks, hooks, tests });
    }
    let mut diagnostics = checker.diagnostics;
    show(&mut diagnostics, &source.text);
    Err(diagnostics)
}

impl Checker<'_> {
    fn names(&mut self) {
        let mut seen = BTreeSet::new();
        let source = self.source;
        for function in source.functions.iter().chain(&source.hooks) {
            if !seen.insert(&function.name) {
                let what = format!("{:?} stands twice", function.name);
                self.diagnostics.push(diagnostic(function.position, what, "give one of them another name"));
            }
            if Builtin::named(&function.name).is_some() {
                let what = format!("{:?} is a function of the language", function.name);
                self.diagnostics.push(diagnostic(function.position, what, "choose another name"));
            }
            let parameters: BTreeSet<&String> = function.parameters.iter().collect();
            if parameters.len() < function.parameters.len() {
                let what = format!("{:?} names something twice", function.name);
                self.diagnostics.push(diagnostic(function.position, what, "give each a name of its own"));
            }
        }
    }

    fn hook(&mut self, hook: &Function) -> Option<(usize, Vec<Type>)> {
        let points = self.points;
        let Some(point) = points.iter().find(|point| point.name == hook.name) else {
            let names: Vec<&str> = points.iter().map(|point| point.name.as_str()).collect();
            let hint = format!("there are {}", names.join(", "));
            self.diagnostics.push(diagnostic(hook.position, format!("no hook point {:?}", hook.name), &hint));
            return None;
        };
        if point.inputs.len() != hook.parameters.len() {
            let names: Vec<&str> = point.inputs.iter().map(|input| input.0.as_str()).collect();
            let what = format!("{:?} takes {}", hook.name, names.join(", "));
            self.diagnostics.push(diagnostic(hook.position, what, "name as many between its brackets"));
            return None;
        }
        let inputs: Vec<Type> = point.inputs.iter().map(|input| input.1.clone()).collect();
        match self.function(hook, inputs.clone(), hook.position) {
            Ok((chunk, output)) if output.join(&point.output).as_ref() == Some(&point.output) => {
                Some((chunk, inputs))
            }
            Ok((_, output)) => {
                let what = format!("{:?} comes to {output}", hook.name);
                let hint = format!("it is to give {}", point.output);
                self.diagnostics.push(diagnostic(hook.body.value.position, what, &hint));
                None
            }
            Err(found) => {
                self.diagnostics.push(found);
                None
            }
        }
    }

    fn function(
        &mut self,
        function: &Function,
        given: Vec<Type>,
        position: Position,
    ) -> Result<(usize, Type), Diagnostic> {
        if self.under_way.contains(&function.name) {
            let what = format!("{:?} calls itself, by way of {}", function.name, self.under_way.join(", "));
            return Err(diagnostic(position, what, "go through a list with for instead"));
        }
        let key = (function.name.clone(), given.clone());
        if let Some(done) = self.done.get(&key) {
            return Ok(done.clone());
        }
        self.under_way.push(function.name.clone());
        let found = self.body(&function.parameters, &given, &function.body);
        self.under_way.pop();
        let found = found?;
        self.done.insert(key, found.clone());
        Ok(found)
    }

    fn body(
        &mut self,
        parameters: &[String],
        given: &[Type],
        block: &Block,
    ) -> Result<(usize, Type), Diagnostic> {
        let names = parameters.iter().zip(given).enumerate();
        let names: Vec<_> = names.map(|(at, (name, of))| (name.clone(), at as u16, of.clone())).collect();
        let mut body = Body { code: Vec::new(), slots: names.len() as u16, names };
        let output = self.block(&mut body, block)?;
        body.put(Instruction::Return, block.value.position);
        let (code, positions) = body.code.into_iter().unzip();
        self.chunks.push(Chunk { code, positions, slots: body.slots.into(), takes: given.len() });
        Ok((self.chunks.len() - 1, output))
    }

    fn block(&mut self, body: &mut Body, block: &Block) -> Checked {
        let known = body.names.len();
        for (position, name, value, _) in &block.lets {
            let of = self.node(body, value)?;
            let slot = body.slot(*position)?;
            body.put(Instruction::Store(slot), *position);
            body.names.push((name.clone(), slot, of));
        }
        let of = self.node(body, &block.value)?;
        body.names.truncate(known);
        Ok(of)
    }

    fn number(&mut self, body: &mut Body, node: &Node) -> Result<Unit, Diagnostic> {
        match self.node(body, node)? {
            Type::Number(unit) => Ok(unit),
            other => {
                Err(diagnostic(node.position, format!("{other} where a number is needed"), "give a number"))
            }
        }
    }

    fn truth(&mut self, body: &mut Body, node: &Node) -> Result<(), Diagnostic> {
        match self.node(body, node)? {
            Type::Boolean => Ok(()),
            other => {
                let what = format!("{other} where true or false is needed");
                Err(diagnostic(node.position, what, "compare it with something"))
            }
        }
    }

    fn items(&mut self, body: &mut Body, node: &Node) -> Result<Type, Diagnostic> {
        match self.node(body, node)? {
            Type::List(Some(item)) => Ok(*item),
            // Nothing of it is ever looked at.
            Type::List(None) => Ok(Type::Boolean),
            other => Err(diagnostic(node.position, format!("{other} where a list is needed"), "give a list")),
        }
    }

    fn same(position: Position, one: &Type, other: &Type, what: &str) -> Checked {
        one.join(other).ok_or_else(|| {
            diagnostic(position, format!("{what}: {one}, and {other}"), "both must be of one kind and unit")
        })
    }

    fn node(&mut self, body: &mut Body, node: &Node) -> Checked {
        self.looked += 1;
        let position = node.position;
        if self.looked > MOST {
            return Err(diagnostic(position, "too much to look at", "make the source smaller"));
        }
        match &node.kind {
            Kind::Number(value, unit, word) => {
                let scale = UNITS.iter().find(|known| known.0 == *word).map_or(1.0, |known| known.1);
                body.put(Instruction::Constant(Value::Number(value * scale)), position);
                Ok(Type::Number(*unit))
            }
            Kind::String(text) => {
                body.put(Instruction::Constant(Value::String(text.as_str().into())), position);
                Ok(Type::String)
            }
            Kind::Boolean(truth) => {
                body.put(Instruction::Constant(Value::Boolean(*truth)), position);
                Ok(Type::Boolean)
            }
            Kind::Name(name) => match body.names.iter().rev().find(|known| known.0 == *name).cloned() {
                Some((_, slot, of)) => {
                    body.put(Instruction::Load(slot), position);
                    Ok(of)
                }
                None => {
                    let names: Vec<&str> = body.names.iter().map(|known| known.0.as_str()).collect();
                    let hint = format!("known here: {}", names.join(", "));
                    Err(diagnostic(position, format!("{name:?} is not known"), &hint))
                }
            },
            Kind::List(items) => {
                let mut of: Option<Type> = None;
                for item in items {
                    let found = self.node(body, item)?;
                    of = Some(match of {
                        Some(of) => Self::same(item.position, &of, &found, "items of one list differ")?,
                        None => found,
                    });
                }
                body.put(Instruction::List(items.len() as u32), position);
                Ok(Type::List(of.map(Box::new)))
            }
            Kind::Record(fields) => {
                let mut sorted: Vec<&(String, Node)> = fields.iter().collect();
                sorted.sort_by(|a, b| a.0.cmp(&b.0));
                let mut of = BTreeMap::new();
                for (name, value) in sorted {
                    of.insert(name.clone(), self.node(body, value)?);
                }
                body.put(Instruction::Record(fields.len() as u16), position);
                Ok(Type::Record(of))
            }
            Kind::Field(record, name) => match self.node(body, record)? {
                Type::Record(fields) => match fields.iter().position(|(known, _)| known == name) {
                    Some(at) => {
                        body.put(Instruction::Field(at as u16), position);
                        Ok(fields[name].clone())
                    }
                    None => {
                        let names: Vec<&str> = fields.keys().map(String::as_str).collect();
                        let hint = format!("there are {}", names.join(", "));
                        Err(diagnostic(position, format!("no field {name:?}"), &hint))
                    }
                },
                other => Err(diagnostic(position, format!("{other} has no fields"), "take the dot away")),
            },
            Kind::Call(name, given) => self.call(body, position, name, given),
            Kind::Not(inner) => {
                self.truth(body, inner)?;
                body.put(Instruction::Not, position);
                Ok(Type::Boolean)
            }
            Kind::Minus(inner) => {
                let unit = self.number(body, inner)?;
                body.put(Instruction::Minus, position);
                Ok(Type::Number(unit))
            }
            Kind::Binary(binary, left, right) => self.binary(body, position, *binary, left, right),
            Kind::If(condition, yes, no) => {
                self.truth(body, condition)?;
                let unless = body.hole(position);
                let one = self.block(body, yes)?;
                let end = body.hole(position);
                body.fill(unless, Instruction::JumpUnless);
                let other = self.block(body, no)?;
                body.fill(end, Instruction::Jump);
                Self::same(position, &one, &other, "the two ways of an if differ")
            }
            Kind::Match(value, arms, rest) => self.arms(body, position, value, arms, rest),
            Kind::Fold { item, list, sum, start, next } => {
                let of_item = self.items(body, list)?;
                let (at, end) = self.walk(body, position)?;
                let of_sum = self.node(body, start)?;
                let sum_slot = body.slot(position)?;
                body.put(Instruction::Store(sum_slot), position);
                let item_slot = body.slot(position)?;
                let begin = body.code.len();
                let over = body.hole(position);
                let known = body.names.len();
                body.names.push((item.clone(), item_slot, of_item));
                body.names.push((sum.clone(), sum_slot, of_sum.clone()));
                let found = self.block(body, next)?;
                body.names.truncate(known);
                let of = Self::same(position, &of_sum, &found, "what a loop gathers changes its kind")?;
                if of != of_sum {
                    // A list that begins empty: once more, with what is known of it now.
                    return Err(diagnostic(
                        position,
                        "a start that says too little",
                        "begin with a list that has an item",
                    ));
                }
                body.put(Instruction::Store(sum_slot), position);
                body.put(Instruction::Jump(begin as u32), position);
                body.walk_to(over, at, end, item_slot);
                body.put(Instruction::Load(sum_slot), position);
                Ok(of)
            }
            Kind::Each { next, item, list, filter } => {
                let of_item = self.items(body, list)?;
                let (at, end) = self.walk(body, position)?;
                body.put(Instruction::List(0), position);
                let sum_slot = body.slot(position)?;
                body.put(Instruction::Store(sum_slot), position);
                let item_slot = body.slot(position)?;
                let begin = body.code.len();
                let over = body.hole(position);
                let known = body.names.len();
                body.names.push((item.clone(), item_slot, of_item));
                let unless = match filter {
                    Some(filter) => {
                        self.truth(body, filter)?;
                        Some(body.hole(position))
                    }
                    None => None,
                };
                let of = self.node(body, next)?;
                body.names.truncate(known);
                body.put(Instruction::Append(sum_slot), position);
                if let Some(unless) = unless {
                    body.fill(unless, Instruction::JumpUnless);
                }
                body.put(Instruction::Jump(begin as u32), position);
                body.walk_to(over, at, end, item_slot);
                body.put(Instruction::Load(sum_slot), position);
                Ok(Type::List(Some(Box::new(of))))
            }
        }
    }

    /// Slots of the list that is gone through, and of how far.
    fn walk(&mut self, body: &mut Body, position: Position) -> Result<(u16, u16), Diagnostic> {
        let (list, at) = (body.slot(position)?, body.slot(position)?);
        body.put(Instruction::Store(list), position);
        body.put(Instruction::Constant(Value::Number(0.0)), position);
        body.put(Instruction::Store(at), position);
        Ok((list, at))
    }

    fn binary(
        &mut self,
        body: &mut Body,
        position: Position,
        binary: Binary,
        left: &Node,
        right: &Node,
    ) -> Checked {
        match binary {
            Binary::And | Binary::Or => {
                self.truth(body, left)?;
                let skip = body.hole(position);
                self.truth(body, right)?;
                let end = body.hole(position);
                body.fill(
                    skip,
                    if binary == Binary::And { Instruction::JumpUnless } else { Instruction::JumpIf },
                );
                body.put(Instruction::Constant(Value::Boolean(binary == Binary::Or)), position);
                body.fill(end, Instruction::Jump);
                Ok(Type::Boolean)
            }
            Binary::Equal | Binary::Differs => {
                let one = self.node(body, left)?;
                let other = self.node(body, right)?;
                Self::same(position, &one, &other, "these can't be equal")?;
                body.put(Instruction::Binary(binary), position);
                Ok(Type::Boolean)
            }
            Binary::Multiply | Binary::Divide => {
                let one = self.number(body, left)?;
                let other = self.number(body, right)?;
                body.put(Instruction::Binary(binary), position);
                let unit = if binary == Binary::Multiply { one.times(other) } else { one.over(other) };
                let unit =
                    unit.ok_or_else(|| diagnostic(position, "a unit beyond all use", "multiply less often"))?;
                Ok(Type::Number(unit))
            }
            _ => {
                let one = self.node(body, left)?;
                let other = self.node(body, right)?;
                let of = Self::same(position, &one, &other, &format!("{:?} between", binary.text()))?;
                body.put(Instruction::Binary(binary), position);
                match (binary, of) {
                    (Binary::Add | Binary::Subtract, Type::Number(unit)) => Ok(Type::Number(unit)),
                    (Binary::Add, Type::String) => Ok(Type::String),
                    (Binary::Add | Binary::Subtract, other) => {
                        Err(diagnostic(position, format!("{:?} of {other}", binary.text()), "give numbers"))
                    }
                    (_, Type::Number(_)) => Ok(Type::Boolean),
                    (_, other) => {
                        Err(diagnostic(position, format!("{other} has no order"), "compare numbers"))
                    }
                }
            }
        }
    }

    fn arms(
        &mut self,
        body: &mut Body,
        position: Position,
        value: &Node,
        arms: &[(Node, Block)],
        rest: &Block,
    ) -> Checked {
        let of = self.node(body, value)?;
        let slot = body.slot(position)?;
        body.put(Instruction::Store(slot), position);
        let (mut ends, mut output) = (Vec::new(), None);
        for (pattern, block) in arms {
            body.put(Instruction::Load(slot), pattern.position);
            let found = self.node(body, pattern)?;
            Self::same(pattern.position, &of, &found, "an arm that can't be met")?;
            body.put(Instruction::Binary(Binary::Equal), pattern.position);
            let unless = body.hole(pattern.position);
            let found = self.block(body, block)?;
            output = Some(match output {
                Some(output) => Self::same(pattern.position, &output, &found, "arms differ")?,
                None => found,
            });
            ends.push(body.hole(position));
            body.fill(unless, Instruction::JumpUnless);
        }
        let last = self.block(body, rest)?;
        for end in ends {
            body.fill(end, Instruction::Jump);
        }
        match output {
            Some(output) => Self::same(position, &output, &last, "arms differ"),
            None => Ok(last),
        }
    }

    fn call(&mut self, body: &mut Body, position: Position, name: &str, given: &[Node]) -> Checked {
        let mut of = Vec::new();
        for value in given {
            of.push(self.node(body, value)?);
        }
        if let Some(builtin) = Builtin::named(name) {
            let output = builtin.output(&of).ok_or_else(|| {
                let found: Vec<String> = of.iter().map(Type::to_string).collect();
                let what = format!(
                    "{name} of {}",
                    if found.is_empty() { "nothing".into() } else { found.join("; ") }
                );
                diagnostic(position, what, &format!("it is {}", builtin.words()))
            })?;
            body.put(Instruction::Builtin(builtin, given.len() as u8), position);
            return Ok(output);
        }
        let source = self.source;
        let Some(function) = source.functions.iter().chain(&source.hooks).find(|known| known.name == name)
        else {
            let names: Vec<&str> = source.functions.iter().map(|known| known.name.as_str()).collect();
            let hint = format!("there are {} and those of the language", names.join(", "));
            return Err(diagnostic(position, format!("no function {name:?}"), &hint));
        };
        self.used.insert(name.to_owned());
        if function.parameters.len() != given.len() {
            let what = format!("{name:?} takes {}, not {}", function.parameters.len(), given.len());
            return Err(diagnostic(position, what, "give as many"));
        }
        let (chunk, output) = self.function(function, of, position)?;
        body.put(Instruction::Call(chunk as u32), position);
        Ok(output)
    }
}

impl Body {
    fn put(&mut self, instruction: Instruction, position: Position) {
        self.code.push((instruction, position));
    }

    /// A jump whose end is not known yet.
    fn hole(&mut self, position: Position) -> usize {
        self.put(Instruction::Jump(0), position);
        self.code.len() - 1
    }

    /// It jumps to what comes next.
    fn fill(&mut self, hole: usize, jump: impl Fn(u32) -> Instruction) {
        self.code[hole].0 = jump(self.code.len() as u32);
    }

    fn walk_to(&mut self, hole: usize, list: u16, at: u16, item: u16) {
        let end = self.code.len() as u32;
        self.code[hole].0 = Instruction::Next { list, at, item, end };
    }

    fn slot(&mut self, position: Position) -> Result<u16, Diagnostic> {
        let slot = self.slots;
        self.slots = self.slots.checked_add(1).filter(|slots| *slots < 4096).ok_or_else(|| {
            diagnostic(position, "more names than one body may have", "split it into functions")
        })?;
        Ok(slot)
    }
}

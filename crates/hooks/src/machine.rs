//! Runs what was compiled, within limits that are counted exactly. Every operation has a value or a fault; no number is
//! ever infinite or not a number.

use std::rc::Rc;

use crate::check::Program;
use crate::syntax::{Binary, Position};
use crate::types::{Type, Unit};

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// In base units: seconds, invocations a second, whole parts.
    Number(f64),
    String(Rc<str>),
    Boolean(bool),
    List(Rc<Vec<Value>>),
    /// Fields in the order of their names.
    Record(Rc<[Value]>),
}

impl Value {
    /// Is it of this type, and finite?
    pub fn fits(&self, of: &Type) -> bool {
        match (self, of) {
            (Value::Number(number), Type::Number(_)) => number.is_finite(),
            (Value::String(_), Type::String) | (Value::Boolean(_), Type::Boolean) => true,
            (Value::List(items), Type::List(None)) => items.is_empty(),
            (Value::List(items), Type::List(Some(of))) => items.iter().all(|item| item.fits(of)),
            (Value::Record(values), Type::Record(fields)) => {
                values.len() == fields.len()
                    && values.iter().zip(fields.values()).all(|(value, of)| value.fits(of))
            }
            _ => false,
        }
    }

    /// Values in it, itself included.
    fn size(&self) -> u64 {
        1 + match self {
            Value::String(text) => text.len() as u64 / 16,
            Value::List(items) => items.iter().map(Value::size).sum(),
            Value::Record(values) => values.iter().map(Value::size).sum(),
            _ => 0,
        }
    }
}

/// What one call may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Instructions, and items that they go through.
    pub fuel: u64,
    /// Bytes of lists, records and texts that are made, all together.
    pub memory_bytes: u64,
}

/// What one call used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub fuel: u64,
    pub memory_bytes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    UnknownHook,
    /// What it was given is not of the point's types.
    TypeMismatch,
    OutOfFuel,
    OutOfMemory,
    /// A division by nothing, or a number without limits.
    NoNumber,
}

/// Why a call gave nothing, and where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    pub kind: FaultKind,
    pub position: Position,
}

/// Functions of the language.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Builtin {
    Min,
    Max,
    Abs,
    Round,
    Clamp,
    Count,
    Sum,
    Range,
    Chance,
    Number,
}

const BUILTINS: [(&str, Builtin, &str); 10] = [
    ("min", Builtin::Min, "the lesser of two numbers of one unit"),
    ("max", Builtin::Max, "the greater of two numbers of one unit"),
    ("abs", Builtin::Abs, "a number without its sign"),
    ("round", Builtin::Round, "the nearest whole plain number"),
    ("clamp", Builtin::Clamp, "a number held between two others of its unit"),
    ("count", Builtin::Count, "how many items a list has"),
    ("sum", Builtin::Sum, "all numbers of a list together"),
    ("range", Builtin::Range, "the whole numbers from 0 up to a plain number, without it"),
    ("chance", Builtin::Chance, "a plain number from 0 to 1, the same for the same text and seed"),
    ("number", Builtin::Number, "a number without its unit, in s and inv/s"),
];

impl Builtin {
    pub(crate) fn named(name: &str) -> Option<Self> {
        BUILTINS.iter().find(|known| known.0 == name).map(|known| known.1)
    }

    pub(crate) fn words(self) -> &'static str {
        BUILTINS.iter().find(|known| known.1 == self).map_or("", |known| known.2)
    }

    pub(crate) fn output(self, given: &[Type]) -> Option<Type> {
        let plain = Type::Number(Unit::DIMENSIONLESS);
        match (self, given) {
            (Builtin::Min | Builtin::Max, [Type::Number(a), Type::Number(b)]) if a == b => {
                Some(given[0].clone())
            }
            (Builtin::Abs, [Type::Number(_)]) => Some(given[0].clone()),
            (Builtin::Round | Builtin::Number, [Type::Number(unit)]) => {
                (self == Builtin::Number || *unit == Unit::DIMENSIONLESS).then_some(plain)
            }
            (Builtin::Clamp, [Type::Number(a), Type::Number(b), Type::Number(c)]) if a == b && b == c => {
                Some(given[0].clone())
            }
            (Builtin::Count, [Type::List(_)]) => Some(plain),
            (Builtin::Sum, [Type::List(Some(item))]) => match **item {
                Type::Number(_) => Some((**item).clone()),
                _ => None,
            },
            (Builtin::Sum, [Type::List(None)]) => Some(plain),
            (Builtin::Range, [Type::Number(Unit::DIMENSIONLESS)]) => Some(Type::List(Some(Box::new(plain)))),
            (Builtin::Chance, [Type::String]) => Some(plain),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Instruction {
    Constant(Value),
    Load(u16),
    Store(u16),
    List(u32),
    Record(u16),
    Field(u16),
    Append(u16),
    Not,
    Minus,
    Binary(Binary),
    Jump(u32),
    JumpIf(u32),
    JumpUnless(u32),
    /// The next item of a list, or the end of going through it.
    Next {
        list: u16,
        at: u16,
        item: u16,
        end: u32,
    },
    Call(u32),
    Builtin(Builtin, u8),
    Return,
}

#[derive(Clone, Debug)]
pub(crate) struct Chunk {
    pub code: Vec<Instruction>,
    pub positions: Vec<Position>,
    pub slots: usize,
    pub takes: usize,
}

/// Bytes that an item of a list or a record counts.
const ITEM: u64 = 16;

struct Machine<'a> {
    program: &'a Program,
    limits: Limits,
    usage: Usage,
    seed: u64,
    stack: Vec<Value>,
    slots: Vec<Value>,
}

/// FNV-1a, 64 bits: a published hash that is the same everywhere, mixed once more.
fn drawn(seed: u64, key: &str) -> f64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ seed;
    for byte in key.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

impl Program {
    /// Names of the hooks that it has.
    pub fn hook_names(&self) -> impl Iterator<Item = &str> {
        self.hooks.keys().map(String::as_str)
    }

    /// Calls a hook. The same program, inputs, limits and seed give the same value or fault, and spend the same.
    pub fn call(
        &self,
        hook: &str,
        inputs: &[Value],
        limits: Limits,
        seed: u64,
    ) -> (Result<Value, Fault>, Usage) {
        let nowhere = |kind| (Err(Fault { kind, position: Position::default() }), Usage::default());
        let Some((chunk, of)) = self.hooks.get(hook) else { return nowhere(FaultKind::UnknownHook) };
        let fits = of.len() == inputs.len() && inputs.iter().zip(of).all(|(value, of)| value.fits(of));
        if !fits {
            return nowhere(FaultKind::TypeMismatch);
        }
        self.run(*chunk, inputs, limits, seed)
    }

    /// Runs the cases that stand in the source: each with its name, and whether it came true.
    pub fn run_tests(&self, limits: Limits, seed: u64) -> Vec<(&str, Result<bool, Fault>)> {
        let one = |(name, chunk): &'_ (String, usize)| {
            let (result, _) = self.run(*chunk, &[], limits, seed);
            result
                .map(|value| value == Value::Boolean(true))
                .map_err(|fault| (name, fault))
                .map_err(|both| both.1)
        };
        self.tests.iter().map(|test| (test.0.as_str(), one(test))).collect()
    }

    fn run(
        &self,
        chunk: usize,
        inputs: &[Value],
        limits: Limits,
        seed: u64,
    ) -> (Result<Value, Fault>, Usage) {
        let (stack, slots) = (inputs.to_vec(), Vec::new());
        let mut machine = Machine { program: self, limits, usage: Usage::default(), seed, stack, slots };
        let result = machine.run(chunk);
        (result, machine.usage)
    }
}

impl Machine<'_> {
    fn run(&mut self, first: usize) -> Result<Value, Fault> {
        let program = self.program;
        let (mut chunk, mut at) = (first, 0);
        let mut base = self.enter(&program.chunks[chunk]);
        // Where to go on after a return. No chain of calls comes back to where it was, so it is short.
        let mut calls: Vec<(usize, usize, usize)> = Vec::new();
        loop {
            let code = &program.chunks[chunk];
            let instruction = &code.code[at];
            let position = code.positions[at];
            let fault = |kind| Fault { kind, position };
            self.burn(1).map_err(fault)?;
            at += 1;
            match instruction {
                Instruction::Constant(value) => self.stack.push(value.clone()),
                Instruction::Load(slot) => {
                    let value = self.slots[base + usize::from(*slot)].clone();
                    self.stack.push(value);
                }
                Instruction::Store(slot) => self.slots[base + usize::from(*slot)] = self.pop(),
                Instruction::List(count) => {
                    self.make(u64::from(*count) * ITEM).map_err(fault)?;
                    let items = self.stack.split_off(self.stack.len() - *count as usize);
                    self.stack.push(Value::List(Rc::new(items)));
                }
                Instruction::Record(count) => {
                    self.make(u64::from(*count) * ITEM).map_err(fault)?;
                    let values = self.stack.split_off(self.stack.len() - usize::from(*count));
                    self.stack.push(Value::Record(values.into()));
                }
                Instruction::Field(field) => {
                    if let Value::Record(values) = self.pop() {
                        self.stack.push(values[usize::from(*field)].clone());
                    }
                }
                Instruction::Append(slot) => {
                    self.make(ITEM).map_err(fault)?;
                    let value = self.pop();
                    if let Value::List(items) = &mut self.slots[base + usize::from(*slot)] {
                        Rc::make_mut(items).push(value);
                    }
                }
                Instruction::Not => {
                    let truth = self.pop() == Value::Boolean(false);
                    self.stack.push(Value::Boolean(truth));
                }
                Instruction::Minus => {
                    let number = -self.number();
                    self.stack.push(Value::Number(number));
                }
                Instruction::Binary(binary) => self.binary(*binary).map_err(fault)?,
                Instruction::Jump(to) => at = *to as usize,
                Instruction::JumpIf(to) => {
                    if self.pop() == Value::Boolean(true) {
                        at = *to as usize;
                    }
                }
                Instruction::JumpUnless(to) => {
                    if self.pop() == Value::Boolean(false) {
                        at = *to as usize;
                    }
                }
                Instruction::Next { list, at: index, item, end } => {
                    let next = match (
                        &self.slots[base + usize::from(*list)],
                        &self.slots[base + usize::from(*index)],
                    ) {
                        (Value::List(items), Value::Number(index)) => {
                            items.get(*index as usize).map(|item| (item.clone(), index + 1.0))
                        }
                        _ => None,
                    };
                    match next {
                        Some((value, next)) => {
                            self.slots[base + usize::from(*item)] = value;
                            self.slots[base + usize::from(*index)] = Value::Number(next);
                        }
                        None => at = *end as usize,
                    }
                }
                Instruction::Call(to) => {
                    calls.push((chunk, at, base));
                    (chunk, at) = (*to as usize, 0);
                    base = self.enter(&program.chunks[chunk]);
                }
                Instruction::Builtin(builtin, count) => self.builtin(*builtin, *count).map_err(fault)?,
                Instruction::Return => {
                    self.slots.truncate(base);
                    match calls.pop() {
                        Some(back) => (chunk, at, base) = back,
                        None => return Ok(self.pop()),
                    }
                }
            }
        }
    }

    /// Room for a body's names; what it is given lies on the stack.
    fn enter(&mut self, chunk: &Chunk) -> usize {
        let base = self.slots.len();
        let given = self.stack.split_off(self.stack.len() - chunk.takes);
        self.slots.extend(given);
        self.slots.resize(base + chunk.slots, Value::Boolean(false));
        base
    }

    fn pop(&mut self) -> Value {
        self.stack.pop().unwrap_or(Value::Boolean(false))
    }

    fn number(&mut self) -> f64 {
        match self.pop() {
            Value::Number(number) => number,
            _ => 0.0,
        }
    }

    fn burn(&mut self, fuel: u64) -> Result<(), FaultKind> {
        self.usage.fuel = self.usage.fuel.saturating_add(fuel);
        if self.usage.fuel > self.limits.fuel {
            Err(FaultKind::OutOfFuel)
        } else {
            Ok(())
        }
    }

    fn make(&mut self, bytes: u64) -> Result<(), FaultKind> {
        self.usage.memory_bytes = self.usage.memory_bytes.saturating_add(bytes);
        if self.usage.memory_bytes > self.limits.memory_bytes {
            Err(FaultKind::OutOfMemory)
        } else {
            Ok(())
        }
    }

    fn put(&mut self, number: f64) -> Result<(), FaultKind> {
        if !number.is_finite() {
            return Err(FaultKind::NoNumber);
        }
        // One nothing, not two.
        self.stack.push(Value::Number(number + 0.0));
        Ok(())
    }

    fn binary(&mut self, binary: Binary) -> Result<(), FaultKind> {
        let (right, left) = (self.pop(), self.pop());
        match (binary, &left, &right) {
            (Binary::Equal | Binary::Differs, ..) => {
                self.burn(left.size().min(right.size()))?;
                self.stack.push(Value::Boolean((left == right) == (binary == Binary::Equal)));
                Ok(())
            }
            (Binary::Add, Value::String(left), Value::String(right)) => {
                let length = (left.len() + right.len()) as u64;
                self.burn(length / 16)?;
                self.make(length)?;
                self.stack.push(Value::String([&**left, &**right].concat().into()));
                Ok(())
            }
            (_, Value::Number(left), Value::Number(right)) => {
                let truth = match binary {
                    Binary::Add => return self.put(left + right),
                    Binary::Subtract => return self.put(left - right),
                    Binary::Multiply => return self.put(left * right),
                    Binary::Divide => return self.put(left / right),
                    Binary::Less => left < right,
                    Binary::LessEqual => left <= right,
                    Binary::More => left > right,
                    _ => left >= right,
                };
                self.stack.push(Value::Boolean(truth));
                Ok(())
            }
            _ => Err(FaultKind::TypeMismatch),
        }
    }

    fn builtin(&mut self, builtin: Builtin, count: u8) -> Result<(), FaultKind> {
        let given = self.stack.split_off(self.stack.len() - usize::from(count));
        match (builtin, &given[..]) {
            (Builtin::Min, [Value::Number(a), Value::Number(b)]) => self.put(a.min(*b)),
            (Builtin::Max, [Value::Number(a), Value::Number(b)]) => self.put(a.max(*b)),
            (Builtin::Abs, [Value::Number(a)]) => self.put(a.abs()),
            (Builtin::Round, [Value::Number(a)]) => self.put(a.round()),
            (Builtin::Number, [Value::Number(a)]) => self.put(*a),
            // Where the limits are the wrong way round, the lower one holds.
            (Builtin::Clamp, [Value::Number(a), Value::Number(b), Value::Number(c)]) => {
                self.put(a.min(*c).max(*b))
            }
            (Builtin::Count, [Value::List(items)]) => self.put(items.len() as f64),
            (Builtin::Sum, [Value::List(items)]) => {
                self.burn(items.len() as u64)?;
                let number = |item: &Value| if let Value::Number(number) = item { *number } else { 0.0 };
                let mut sum = 0.0;
                for item in items.iter() {
                    sum += number(item);
                }
                self.put(sum)
            }
            (Builtin::Range, [Value::Number(end)]) => {
                let count = end.ceil().max(0.0).min(u32::MAX.into()) as u64;
                self.burn(count)?;
                self.make(count * ITEM)?;
                self.stack
                    .push(Value::List(Rc::new((0..count).map(|at| Value::Number(at as f64)).collect())));
                Ok(())
            }
            (Builtin::Chance, [Value::String(key)]) => {
                self.burn(key.len() as u64 / 16)?;
                let drawn = drawn(self.seed, key);
                self.put(drawn)
            }
            _ => Err(FaultKind::TypeMismatch),
        }
    }
}

//! The bytecode machine: runs a compiled program within limits that are counted exactly. Each operation yields a value
//! or a fault; a number is never infinite or NaN.

use std::rc::Rc;

use crate::check::Program;
use crate::syntax::{BinaryOperator, Position};
use crate::types::{Type, Unit};

/// A value of the language.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// In base units: seconds, invocations per second, or 1 for 100%.
    Number(f64),
    String(Rc<str>),
    Boolean(bool),
    List(Rc<Vec<Value>>),
    /// Fields in the order of their names.
    Record(Rc<[Value]>),
}

impl Value {
    /// Whether the value has this type and all its numbers are finite.
    pub fn matches_type(&self, expected: &Type) -> bool {
        match (self, expected) {
            (Value::Number(number), Type::Number(_)) => number.is_finite(),
            (Value::String(_), Type::String) | (Value::Boolean(_), Type::Boolean) => true,
            (Value::List(items), Type::List(None)) => items.is_empty(),
            (Value::List(items), Type::List(Some(item_type))) => {
                items.iter().all(|item| item.matches_type(item_type))
            }
            (Value::Record(values), Type::Record(fields)) => {
                values.len() == fields.len()
                    && values
                        .iter()
                        .zip(fields.values())
                        .all(|(value, field_type)| value.matches_type(field_type))
            }
            _ => false,
        }
    }

    /// Fuel that a comparison of the value costs: 1 for it and for each value in it, and more for long strings.
    fn comparison_fuel(&self) -> u64 {
        1 + match self {
            Value::String(string) => string.len() as u64 / STRING_BYTES_PER_FUEL,
            Value::List(items) => items.iter().map(Value::comparison_fuel).sum(),
            Value::Record(values) => values.iter().map(Value::comparison_fuel).sum(),
            _ => 0,
        }
    }
}

/// Resource limits of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Fuel: each instruction costs 1, and more if it processes the items of a list or the bytes of a string.
    pub fuel: u64,
    /// Bytes of all lists, records and strings that the call creates; nothing is credited when they are dropped.
    pub memory_bytes: u64,
}

/// Resources that one call used, counted as in [`Limits`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// See [`Limits::fuel`].
    pub fuel: u64,
    /// See [`Limits::memory_bytes`].
    pub memory_bytes: u64,
}

/// Kinds of runtime faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// The program has no hook of this name.
    UnknownHook,
    /// The inputs don't have the types of the hook point.
    TypeMismatch,
    /// The call exceeded [`Limits::fuel`].
    OutOfFuel,
    /// The call exceeded [`Limits::memory_bytes`].
    OutOfMemory,
    /// A result is infinite or NaN, for instance after a division by zero. `shalereel hooks test` prints the name of this
    /// variant, so it must not change.
    NoNumber,
}

/// Why a call returned no value, and where in the source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    pub kind: FaultKind,
    /// Position of the instruction; 0:0 if the call was rejected before the first one.
    pub position: Position,
}

/// Built-in functions.
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

/// Name, function, and a description of its return value for diagnostics.
const BUILTINS: [(&str, Builtin, &str); 10] = [
    ("min", Builtin::Min, "the lesser of two numbers of one unit"),
    ("max", Builtin::Max, "the greater of two numbers of one unit"),
    ("abs", Builtin::Abs, "the absolute value of a number"),
    ("round", Builtin::Round, "the nearest integer to a number without a unit"),
    ("clamp", Builtin::Clamp, "a number limited to the range between two others of its unit"),
    ("count", Builtin::Count, "the number of items in a list"),
    ("sum", Builtin::Sum, "the sum of the numbers in a list"),
    ("range", Builtin::Range, "the integers from 0 up to, but not including, a number without a unit"),
    ("chance", Builtin::Chance, "a number without a unit from 0 to 1, the same for the same string and seed"),
    ("number", Builtin::Number, "a number in s and inv/s, without its unit"),
];

impl Builtin {
    pub(crate) fn by_name(name: &str) -> Option<Self> {
        BUILTINS.iter().find(|known| known.0 == name).map(|known| known.1)
    }

    /// What the function returns, for diagnostics.
    pub(crate) fn description(self) -> &'static str {
        BUILTINS.iter().find(|known| known.1 == self).map_or("", |known| known.2)
    }

    /// The return type, or `None` if the function doesn't take these argument types.
    pub(crate) fn return_type(self, arguments: &[Type]) -> Option<Type> {
        let dimensionless = Type::Number(Unit::DIMENSIONLESS);
        match (self, arguments) {
            (Builtin::Min | Builtin::Max, [Type::Number(a), Type::Number(b)]) if a == b => {
                Some(arguments[0].clone())
            }
            (Builtin::Abs, [Type::Number(_)]) => Some(arguments[0].clone()),
            (Builtin::Round | Builtin::Number, [Type::Number(unit)]) => {
                (self == Builtin::Number || *unit == Unit::DIMENSIONLESS).then_some(dimensionless)
            }
            (Builtin::Clamp, [Type::Number(a), Type::Number(b), Type::Number(c)]) if a == b && b == c => {
                Some(arguments[0].clone())
            }
            (Builtin::Count, [Type::List(_)]) => Some(dimensionless),
            (Builtin::Sum, [Type::List(Some(item))]) => match **item {
                Type::Number(_) => Some((**item).clone()),
                _ => None,
            },
            (Builtin::Sum, [Type::List(None)]) => Some(dimensionless),
            (Builtin::Range, [Type::Number(Unit::DIMENSIONLESS)]) => {
                Some(Type::List(Some(Box::new(dimensionless))))
            }
            (Builtin::Chance, [Type::String]) => Some(dimensionless),
            _ => None,
        }
    }
}

/// Instructions of the stack machine. Operands are popped from the stack, the last one first.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Instruction {
    /// Pushes a value.
    Constant(Value),
    /// Pushes the value of a slot.
    Load(u16),
    /// Pops a value into a slot.
    Store(u16),
    /// Pops this number of items and pushes their list.
    List(u32),
    /// Pops this number of field values and pushes their record.
    Record(u16),
    /// Replaces a record by the field at this index.
    Field(u16),
    /// Pops a value and appends it to the list in a slot.
    Append(u16),
    Not,
    Negate,
    Binary(BinaryOperator),
    /// Jumps to the instruction at this index.
    Jump(u32),
    /// Pops a Boolean and jumps if it is true.
    JumpIfTrue(u32),
    /// Pops a Boolean and jumps if it is false.
    JumpIfFalse(u32),
    /// Copies the next item of the list in slot `list` to slot `item` and increments slot `index`; jumps to `end` after
    /// the last item.
    Next {
        list: u16,
        index: u16,
        item: u16,
        end: u32,
    },
    /// Calls the chunk at this index.
    Call(u32),
    /// Calls a built-in function with this number of arguments.
    Builtin(Builtin, u8),
    Return,
}

/// The bytecode of a function, hook or test.
#[derive(Clone, Debug)]
pub(crate) struct Chunk {
    pub code: Vec<Instruction>,
    /// Source position of each instruction.
    pub positions: Vec<Position>,
    /// Slots for parameters and local variables.
    pub slot_count: usize,
    pub parameter_count: usize,
}

/// Memory that is counted for an item of a list or a field of a record.
const ITEM_BYTES: u64 = 16;

/// Bytes of a string that are processed for one unit of fuel.
const STRING_BYTES_PER_FUEL: u64 = 16;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;
/// The first multiplier of MurmurHash3's 64-bit finalizer.
const MURMUR3_MULTIPLIER: u64 = 0xff51_afd7_ed55_8ccd;

struct Machine<'a> {
    program: &'a Program,
    limits: Limits,
    usage: Usage,
    seed: u64,
    stack: Vec<Value>,
    /// Slots of all active calls, the innermost last.
    slots: Vec<Value>,
}

/// Hashes a seed and a key to a number from 0 to 1. FNV-1a with 64 bits is a published hash that gives the same result
/// everywhere; its bits are mixed once more.
fn hash_to_unit_interval(seed: u64, key: &str) -> f64 {
    let mut hash = FNV_OFFSET_BASIS ^ seed;
    for byte in key.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash = (hash ^ (hash >> 33)).wrapping_mul(MURMUR3_MULTIPLIER);
    hash ^= hash >> 33;
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

impl Program {
    /// Names of the hooks in the program, in alphabetical order.
    pub fn hook_names(&self) -> impl Iterator<Item = &str> {
        self.hooks.keys().map(String::as_str)
    }

    /// Calls a hook. The same program, inputs, limits and seed give the same value or fault and the same usage.
    pub fn call(
        &self,
        hook: &str,
        inputs: &[Value],
        limits: Limits,
        seed: u64,
    ) -> (Result<Value, Fault>, Usage) {
        let reject = |kind| (Err(Fault { kind, position: Position::default() }), Usage::default());
        let Some((chunk, input_types)) = self.hooks.get(hook) else { return reject(FaultKind::UnknownHook) };
        let types_match = input_types.len() == inputs.len()
            && inputs.iter().zip(input_types).all(|(value, input_type)| value.matches_type(input_type));
        if !types_match {
            return reject(FaultKind::TypeMismatch);
        }
        self.run(*chunk, inputs, limits, seed)
    }

    /// Runs the tests in the source; returns the name of each and whether it evaluated to true.
    pub fn run_tests(&self, limits: Limits, seed: u64) -> Vec<(&str, Result<bool, Fault>)> {
        let run_test = |(name, chunk): &'_ (String, usize)| {
            let (result, _) = self.run(*chunk, &[], limits, seed);
            result
                .map(|value| value == Value::Boolean(true))
                .map_err(|fault| (name, fault))
                .map_err(|both| both.1)
        };
        self.tests.iter().map(|test| (test.0.as_str(), run_test(test))).collect()
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
    fn run(&mut self, first_chunk: usize) -> Result<Value, Fault> {
        let program = self.program;
        let (mut chunk, mut instruction_index) = (first_chunk, 0);
        let mut base = self.enter_frame(&program.chunks[chunk]);
        // Chunk, instruction and slot base of each caller. The compiler rejects recursion, which bounds the depth.
        let mut call_stack: Vec<(usize, usize, usize)> = Vec::new();
        loop {
            let current = &program.chunks[chunk];
            let instruction = &current.code[instruction_index];
            let position = current.positions[instruction_index];
            let fault = |kind| Fault { kind, position };
            self.consume_fuel(1).map_err(fault)?;
            instruction_index += 1;
            match instruction {
                Instruction::Constant(value) => self.stack.push(value.clone()),
                Instruction::Load(slot) => {
                    let value = self.slots[base + usize::from(*slot)].clone();
                    self.stack.push(value);
                }
                Instruction::Store(slot) => self.slots[base + usize::from(*slot)] = self.pop(),
                Instruction::List(count) => {
                    self.allocate(u64::from(*count) * ITEM_BYTES).map_err(fault)?;
                    let items = self.stack.split_off(self.stack.len() - *count as usize);
                    self.stack.push(Value::List(Rc::new(items)));
                }
                Instruction::Record(count) => {
                    self.allocate(u64::from(*count) * ITEM_BYTES).map_err(fault)?;
                    let values = self.stack.split_off(self.stack.len() - usize::from(*count));
                    self.stack.push(Value::Record(values.into()));
                }
                Instruction::Field(field) => {
                    if let Value::Record(values) = self.pop() {
                        self.stack.push(values[usize::from(*field)].clone());
                    }
                }
                Instruction::Append(slot) => {
                    self.allocate(ITEM_BYTES).map_err(fault)?;
                    let value = self.pop();
                    if let Value::List(items) = &mut self.slots[base + usize::from(*slot)] {
                        Rc::make_mut(items).push(value);
                    }
                }
                Instruction::Not => {
                    let negated = self.pop() == Value::Boolean(false);
                    self.stack.push(Value::Boolean(negated));
                }
                Instruction::Negate => {
                    let number = -self.pop_number();
                    self.stack.push(Value::Number(number));
                }
                Instruction::Binary(operator) => self.binary(*operator).map_err(fault)?,
                Instruction::Jump(target) => instruction_index = *target as usize,
                Instruction::JumpIfTrue(target) => {
                    if self.pop() == Value::Boolean(true) {
                        instruction_index = *target as usize;
                    }
                }
                Instruction::JumpIfFalse(target) => {
                    if self.pop() == Value::Boolean(false) {
                        instruction_index = *target as usize;
                    }
                }
                Instruction::Next { list, index, item, end } => {
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
                        None => instruction_index = *end as usize,
                    }
                }
                Instruction::Call(target) => {
                    call_stack.push((chunk, instruction_index, base));
                    (chunk, instruction_index) = (*target as usize, 0);
                    base = self.enter_frame(&program.chunks[chunk]);
                }
                Instruction::Builtin(builtin, count) => self.builtin(*builtin, *count).map_err(fault)?,
                Instruction::Return => {
                    self.slots.truncate(base);
                    match call_stack.pop() {
                        Some(caller) => (chunk, instruction_index, base) = caller,
                        None => return Ok(self.pop()),
                    }
                }
            }
        }
    }

    /// Moves the arguments from the stack to new slots and adds slots for local variables; returns the first slot.
    fn enter_frame(&mut self, chunk: &Chunk) -> usize {
        let base = self.slots.len();
        let arguments = self.stack.split_off(self.stack.len() - chunk.parameter_count);
        self.slots.extend(arguments);
        self.slots.resize(base + chunk.slot_count, Value::Boolean(false));
        base
    }

    /// Pops an operand. In compiled code there always is one, so that the fallback is unused.
    fn pop(&mut self) -> Value {
        self.stack.pop().unwrap_or(Value::Boolean(false))
    }

    /// Pops a number. In compiled code the type of an operand is correct, so that the fallback is unused.
    fn pop_number(&mut self) -> f64 {
        match self.pop() {
            Value::Number(number) => number,
            _ => 0.0,
        }
    }

    /// Counts fuel; fails when the call exceeds its limit.
    fn consume_fuel(&mut self, fuel: u64) -> Result<(), FaultKind> {
        self.usage.fuel = self.usage.fuel.saturating_add(fuel);
        if self.usage.fuel > self.limits.fuel {
            Err(FaultKind::OutOfFuel)
        } else {
            Ok(())
        }
    }

    /// Counts memory; fails when the call exceeds its limit.
    fn allocate(&mut self, bytes: u64) -> Result<(), FaultKind> {
        self.usage.memory_bytes = self.usage.memory_bytes.saturating_add(bytes);
        if self.usage.memory_bytes > self.limits.memory_bytes {
            Err(FaultKind::OutOfMemory)
        } else {
            Ok(())
        }
    }

    /// Pushes a result, which must be finite.
    fn push_number(&mut self, number: f64) -> Result<(), FaultKind> {
        if !number.is_finite() {
            return Err(FaultKind::NoNumber);
        }
        // Turns -0.0 into 0.0, so that there is only one zero.
        self.stack.push(Value::Number(number + 0.0));
        Ok(())
    }

    fn binary(&mut self, operator: BinaryOperator) -> Result<(), FaultKind> {
        let (right, left) = (self.pop(), self.pop());
        match (operator, &left, &right) {
            (BinaryOperator::Equal | BinaryOperator::NotEqual, ..) => {
                self.consume_fuel(left.comparison_fuel().min(right.comparison_fuel()))?;
                self.stack.push(Value::Boolean((left == right) == (operator == BinaryOperator::Equal)));
                Ok(())
            }
            (BinaryOperator::Add, Value::String(left), Value::String(right)) => {
                let length = (left.len() + right.len()) as u64;
                self.consume_fuel(length / STRING_BYTES_PER_FUEL)?;
                self.allocate(length)?;
                self.stack.push(Value::String([&**left, &**right].concat().into()));
                Ok(())
            }
            (_, Value::Number(left), Value::Number(right)) => {
                let result = match operator {
                    BinaryOperator::Add => return self.push_number(left + right),
                    BinaryOperator::Subtract => return self.push_number(left - right),
                    BinaryOperator::Multiply => return self.push_number(left * right),
                    BinaryOperator::Divide => return self.push_number(left / right),
                    BinaryOperator::Less => left < right,
                    BinaryOperator::LessEqual => left <= right,
                    BinaryOperator::Greater => left > right,
                    _ => left >= right,
                };
                self.stack.push(Value::Boolean(result));
                Ok(())
            }
            _ => Err(FaultKind::TypeMismatch),
        }
    }

    fn builtin(&mut self, builtin: Builtin, count: u8) -> Result<(), FaultKind> {
        let arguments = self.stack.split_off(self.stack.len() - usize::from(count));
        match (builtin, &arguments[..]) {
            (Builtin::Min, [Value::Number(a), Value::Number(b)]) => self.push_number(a.min(*b)),
            (Builtin::Max, [Value::Number(a), Value::Number(b)]) => self.push_number(a.max(*b)),
            (Builtin::Abs, [Value::Number(a)]) => self.push_number(a.abs()),
            (Builtin::Round, [Value::Number(a)]) => self.push_number(a.round()),
            (Builtin::Number, [Value::Number(a)]) => self.push_number(*a),
            // If the lower bound is above the upper one, the lower bound wins.
            (Builtin::Clamp, [Value::Number(value), Value::Number(lower), Value::Number(upper)]) => {
                self.push_number(value.min(*upper).max(*lower))
            }
            (Builtin::Count, [Value::List(items)]) => self.push_number(items.len() as f64),
            (Builtin::Sum, [Value::List(items)]) => {
                self.consume_fuel(items.len() as u64)?;
                let number = |item: &Value| if let Value::Number(number) = item { *number } else { 0.0 };
                let mut sum = 0.0;
                for item in items.iter() {
                    sum += number(item);
                }
                self.push_number(sum)
            }
            (Builtin::Range, [Value::Number(end)]) => {
                let count = end.ceil().max(0.0).min(u32::MAX.into()) as u64;
                self.consume_fuel(count)?;
                self.allocate(count * ITEM_BYTES)?;
                self.stack.push(Value::List(Rc::new(
                    (0..count).map(|index| Value::Number(index as f64)).collect(),
                )));
                Ok(())
            }
            (Builtin::Chance, [Value::String(key)]) => {
                self.consume_fuel(key.len() as u64 / STRING_BYTES_PER_FUEL)?;
                let number = hash_to_unit_interval(self.seed, key);
                self.push_number(number)
            }
            _ => Err(FaultKind::TypeMismatch),
        }
    }
}

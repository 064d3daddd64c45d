//! The type checker and compiler: infers types and units, and emits bytecode. A function is compiled once per list of
//! argument types, so that its parameters need no type annotations. A function that is never called is parsed but not
//! type-checked, and reported as unused.

use std::collections::{BTreeMap, BTreeSet};

use crate::lex::UNITS;
use crate::machine::{Builtin, Chunk, Instruction, Value};
use crate::syntax::{
    diagnostic, finish_diagnostics, BinaryOperator, Block, Diagnostic, Expression, ExpressionKind, Function,
    Position, SourceFile,
};
use crate::types::{Type, Unit};

/// A point in the control service at which it calls a hook.
#[derive(Clone, Debug, PartialEq)]
pub struct HookPoint {
    /// The name of the hook that is called.
    pub name: String,
    /// Names and types of the arguments.
    pub inputs: Vec<(String, Type)>,
    /// The type that the hook must return.
    pub output: Type,
}

/// A compiled source.
#[derive(Clone, Debug)]
pub struct Program {
    pub(crate) chunks: Vec<Chunk>,
    /// Chunk index and input types of each hook.
    pub(crate) hooks: BTreeMap<String, (usize, Vec<Type>)>,
    /// Name and chunk index of each test, in source order.
    pub(crate) tests: Vec<(String, usize)>,
}

/// Largest number of expressions that are checked for one source. Those of a function count once for each list of argument
/// types that it is compiled for; without a limit, the number of these lists could grow exponentially with the length of
/// the source.
const MAX_CHECKED_EXPRESSIONS: usize = 200_000;

/// The local slots of one chunk stay below this number.
const SLOT_LIMIT: u16 = 4096;

struct Checker<'a> {
    source: &'a SourceFile,
    hook_points: &'a [HookPoint],
    chunks: Vec<Chunk>,
    /// Chunk index and return type by function name and argument types.
    compiled: BTreeMap<(String, Vec<Type>), (usize, Type)>,
    /// Functions that are being compiled, outermost first.
    call_stack: Vec<String>,
    called_functions: BTreeSet<String>,
    diagnostics: Vec<Diagnostic>,
    checked_expressions: usize,
}

/// The chunk that is being compiled.
struct ChunkBuilder {
    code: Vec<(Instruction, Position)>,
    /// Name, slot and type of each variable in scope; later ones shadow earlier ones.
    scope: Vec<(String, u16, Type)>,
    slot_count: u16,
}

type CheckResult = Result<Type, Diagnostic>;

/// Compiles a source for these hook points. Errors: all diagnostics of the type checker, sorted by position.
pub fn compile(source: &SourceFile, hook_points: &[HookPoint]) -> Result<Program, Vec<Diagnostic>> {
    let mut checker = Checker {
        source,
        hook_points,
        chunks: Vec::new(),
        compiled: BTreeMap::new(),
        call_stack: Vec::new(),
        called_functions: BTreeSet::new(),
        diagnostics: Vec::new(),
        checked_expressions: 0,
    };
    checker.check_declarations();
    let mut hooks = BTreeMap::new();
    for hook in &source.hooks {
        if let Some((chunk, inputs)) = checker.hook(hook) {
            hooks.insert(hook.name.clone(), (chunk, inputs));
        }
    }
    let mut tests = Vec::new();
    for (position, name, body, _) in &source.tests {
        match checker.chunk(&[], &[], body) {
            Ok((chunk, Type::Boolean)) => tests.push((name.clone(), chunk)),
            Ok((_, other)) => {
                let message = format!("the test evaluates to {other}");
                checker.diagnostics.push(diagnostic(*position, message, "end it with a Boolean"));
            }
            Err(error) => checker.diagnostics.push(error),
        }
    }
    let unused =
        source.functions.iter().filter(|function| !checker.called_functions.contains(&function.name));
    let unused: Vec<Diagnostic> = unused
        .map(|function| {
            let message = format!("unused function {:?}", function.name);
            diagnostic(function.position, message, "call it or remove it")
        })
        .collect();
    checker.diagnostics.extend(unused);
    if checker.diagnostics.is_empty() {
        return Ok(Program { chunks: checker.chunks, hooks, tests });
    }
    let mut diagnostics = checker.diagnostics;
    finish_diagnostics(&mut diagnostics, &source.text);
    Err(diagnostics)
}

impl Checker<'_> {
    /// Reports duplicate functions and parameters, and names of built-in functions.
    fn check_declarations(&mut self) {
        let mut seen = BTreeSet::new();
        let source = self.source;
        for function in source.functions.iter().chain(&source.hooks) {
            if !seen.insert(&function.name) {
                let message = format!("duplicate definition of {:?}", function.name);
                self.diagnostics.push(diagnostic(function.position, message, "rename one of them"));
            }
            if Builtin::by_name(&function.name).is_some() {
                let message = format!("{:?} is a built-in function", function.name);
                self.diagnostics.push(diagnostic(function.position, message, "choose another name"));
            }
            let parameters: BTreeSet<&String> = function.parameters.iter().collect();
            if parameters.len() < function.parameters.len() {
                let message = format!("duplicate parameter of {:?}", function.name);
                let hint = "give each parameter a name of its own";
                self.diagnostics.push(diagnostic(function.position, message, hint));
            }
        }
    }

    /// Compiles a hook for its hook point; returns its chunk index and input types, or `None` after an error.
    fn hook(&mut self, hook: &Function) -> Option<(usize, Vec<Type>)> {
        let hook_points = self.hook_points;
        let Some(hook_point) = hook_points.iter().find(|hook_point| hook_point.name == hook.name) else {
            let names: Vec<&str> = hook_points.iter().map(|hook_point| hook_point.name.as_str()).collect();
            let hint = format!("hook points: {}", names.join(", "));
            let message = format!("unknown hook point {:?}", hook.name);
            self.diagnostics.push(diagnostic(hook.position, message, &hint));
            return None;
        };
        if hook_point.inputs.len() != hook.parameters.len() {
            let names: Vec<&str> = hook_point.inputs.iter().map(|input| input.0.as_str()).collect();
            let message = format!("hook {:?} takes the parameters {}", hook.name, names.join(", "));
            self.diagnostics.push(diagnostic(hook.position, message, "declare as many parameters"));
            return None;
        }
        let inputs: Vec<Type> = hook_point.inputs.iter().map(|input| input.1.clone()).collect();
        match self.function(hook, inputs.clone(), hook.position) {
            Ok((chunk, output)) if output.join(&hook_point.output).as_ref() == Some(&hook_point.output) => {
                Some((chunk, inputs))
            }
            Ok((_, output)) => {
                let message = format!("hook {:?} returns {output}", hook.name);
                let hint = format!("it must return {}", hook_point.output);
                self.diagnostics.push(diagnostic(hook.body.value.position, message, &hint));
                None
            }
            Err(error) => {
                self.diagnostics.push(error);
                None
            }
        }
    }

    /// Compiles a function for these argument types, unless this was done before; returns its chunk index and return
    /// type. `call_position` is where a recursive call is reported.
    fn function(
        &mut self,
        function: &Function,
        argument_types: Vec<Type>,
        call_position: Position,
    ) -> Result<(usize, Type), Diagnostic> {
        if self.call_stack.contains(&function.name) {
            let message = format!("{:?} calls itself through {}", function.name, self.call_stack.join(", "));
            return Err(diagnostic(call_position, message, "iterate over a list with for instead"));
        }
        let key = (function.name.clone(), argument_types.clone());
        if let Some(compiled) = self.compiled.get(&key) {
            return Ok(compiled.clone());
        }
        self.call_stack.push(function.name.clone());
        let result = self.chunk(&function.parameters, &argument_types, &function.body);
        self.call_stack.pop();
        let compiled = result?;
        self.compiled.insert(key, compiled.clone());
        Ok(compiled)
    }

    /// Compiles the body of a function, hook or test; returns its chunk index and return type.
    fn chunk(
        &mut self,
        parameters: &[String],
        argument_types: &[Type],
        block: &Block,
    ) -> Result<(usize, Type), Diagnostic> {
        let parameters = parameters.iter().zip(argument_types).enumerate();
        let scope: Vec<_> = parameters
            .map(|(slot, (name, argument_type))| (name.clone(), slot as u16, argument_type.clone()))
            .collect();
        let mut builder = ChunkBuilder { code: Vec::new(), slot_count: scope.len() as u16, scope };
        let output = self.block(&mut builder, block)?;
        builder.emit(Instruction::Return, block.value.position);
        let (code, positions) = builder.code.into_iter().unzip();
        self.chunks.push(Chunk {
            code,
            positions,
            slot_count: builder.slot_count.into(),
            parameter_count: argument_types.len(),
        });
        Ok((self.chunks.len() - 1, output))
    }

    fn block(&mut self, builder: &mut ChunkBuilder, block: &Block) -> CheckResult {
        let outer_scope = builder.scope.len();
        for (position, name, value, _) in &block.lets {
            let value_type = self.expression(builder, value)?;
            let slot = builder.allocate_slot(*position)?;
            builder.emit(Instruction::Store(slot), *position);
            builder.scope.push((name.clone(), slot, value_type));
        }
        let block_type = self.expression(builder, &block.value)?;
        builder.scope.truncate(outer_scope);
        Ok(block_type)
    }

    /// Compiles an expression that must be a number; returns its unit.
    fn number(&mut self, builder: &mut ChunkBuilder, expression: &Expression) -> Result<Unit, Diagnostic> {
        match self.expression(builder, expression)? {
            Type::Number(unit) => Ok(unit),
            other => {
                let message = format!("expected a number, found {other}");
                Err(diagnostic(expression.position, message, "use a number"))
            }
        }
    }

    /// Compiles an expression that must be a Boolean.
    fn boolean(&mut self, builder: &mut ChunkBuilder, expression: &Expression) -> Result<(), Diagnostic> {
        match self.expression(builder, expression)? {
            Type::Boolean => Ok(()),
            other => {
                let message = format!("expected a Boolean, found {other}");
                Err(diagnostic(expression.position, message, "compare it with something"))
            }
        }
    }

    /// Compiles an expression that must be a list; returns the type of its items.
    fn list(&mut self, builder: &mut ChunkBuilder, expression: &Expression) -> Result<Type, Diagnostic> {
        match self.expression(builder, expression)? {
            Type::List(Some(item)) => Ok(*item),
            // Any type will do, since an empty list has no item to read.
            Type::List(None) => Ok(Type::Boolean),
            other => {
                let message = format!("expected a list, found {other}");
                Err(diagnostic(expression.position, message, "use a list"))
            }
        }
    }

    /// Returns the type that covers both, or a diagnostic that names `context` if they differ.
    fn join_types(position: Position, left: &Type, right: &Type, context: &str) -> CheckResult {
        left.join(right).ok_or_else(|| {
            let message = format!("mismatched types {context}: {left} and {right}");
            diagnostic(position, message, "both must have the same type and unit")
        })
    }

    fn expression(&mut self, builder: &mut ChunkBuilder, expression: &Expression) -> CheckResult {
        self.checked_expressions += 1;
        let position = expression.position;
        if self.checked_expressions > MAX_CHECKED_EXPRESSIONS {
            return Err(diagnostic(position, "too many expressions to check", "make the source smaller"));
        }
        match &expression.kind {
            ExpressionKind::Number(value, unit, suffix) => {
                let factor = UNITS.iter().find(|known| known.0 == *suffix).map_or(1.0, |known| known.1);
                builder.emit(Instruction::Constant(Value::Number(value * factor)), position);
                Ok(Type::Number(*unit))
            }
            ExpressionKind::String(value) => {
                builder.emit(Instruction::Constant(Value::String(value.as_str().into())), position);
                Ok(Type::String)
            }
            ExpressionKind::Boolean(value) => {
                builder.emit(Instruction::Constant(Value::Boolean(*value)), position);
                Ok(Type::Boolean)
            }
            ExpressionKind::Name(name) => {
                match builder.scope.iter().rev().find(|known| known.0 == *name).cloned() {
                    Some((_, slot, variable_type)) => {
                        builder.emit(Instruction::Load(slot), position);
                        Ok(variable_type)
                    }
                    None => {
                        let names: Vec<&str> = builder.scope.iter().map(|known| known.0.as_str()).collect();
                        let hint = format!("names in scope: {}", names.join(", "));
                        Err(diagnostic(position, format!("unknown name {name:?}"), &hint))
                    }
                }
            }
            ExpressionKind::List(items) => {
                let mut joined: Option<Type> = None;
                for item in items {
                    let item_type = self.expression(builder, item)?;
                    joined = Some(match joined {
                        Some(joined) => {
                            Self::join_types(item.position, &joined, &item_type, "of list items")?
                        }
                        None => item_type,
                    });
                }
                builder.emit(Instruction::List(items.len() as u32), position);
                Ok(Type::List(joined.map(Box::new)))
            }
            ExpressionKind::Record(fields) => {
                let mut sorted: Vec<&(String, Expression)> = fields.iter().collect();
                sorted.sort_by(|a, b| a.0.cmp(&b.0));
                let mut field_types = BTreeMap::new();
                for (name, value) in sorted {
                    field_types.insert(name.clone(), self.expression(builder, value)?);
                }
                builder.emit(Instruction::Record(fields.len() as u16), position);
                Ok(Type::Record(field_types))
            }
            ExpressionKind::Field(record, name) => match self.expression(builder, record)? {
                Type::Record(fields) => match fields.iter().position(|(known, _)| known == name) {
                    Some(index) => {
                        builder.emit(Instruction::Field(index as u16), position);
                        Ok(fields[name].clone())
                    }
                    None => {
                        let names: Vec<&str> = fields.keys().map(String::as_str).collect();
                        let hint = format!("the record has {}", names.join(", "));
                        Err(diagnostic(position, format!("unknown field {name:?}"), &hint))
                    }
                },
                other => {
                    let message = format!("{other} has no fields");
                    Err(diagnostic(position, message, "remove the field access"))
                }
            },
            ExpressionKind::Call(name, arguments) => self.call(builder, position, name, arguments),
            ExpressionKind::Not(operand) => {
                self.boolean(builder, operand)?;
                builder.emit(Instruction::Not, position);
                Ok(Type::Boolean)
            }
            ExpressionKind::Negate(operand) => {
                let unit = self.number(builder, operand)?;
                builder.emit(Instruction::Negate, position);
                Ok(Type::Number(unit))
            }
            ExpressionKind::Binary(operator, left, right) => {
                self.binary(builder, position, *operator, left, right)
            }
            ExpressionKind::If(condition, then_block, else_block) => {
                self.boolean(builder, condition)?;
                let jump_to_else = builder.emit_placeholder(position);
                let then_type = self.block(builder, then_block)?;
                let jump_to_end = builder.emit_placeholder(position);
                builder.patch_jump(jump_to_else, Instruction::JumpIfFalse);
                let else_type = self.block(builder, else_block)?;
                builder.patch_jump(jump_to_end, Instruction::Jump);
                Self::join_types(position, &then_type, &else_type, "of the if branches")
            }
            ExpressionKind::Match(value, arms, default) => {
                self.match_expression(builder, position, value, arms, default)
            }
            ExpressionKind::Fold { item, list, accumulator, initial, body } => {
                let item_type = self.list(builder, list)?;
                let (list_slot, index_slot) = self.emit_loop_setup(builder, position)?;
                let initial_type = self.expression(builder, initial)?;
                let accumulator_slot = builder.allocate_slot(position)?;
                builder.emit(Instruction::Store(accumulator_slot), position);
                let item_slot = builder.allocate_slot(position)?;
                let loop_start = builder.code.len();
                let next = builder.emit_placeholder(position);
                let outer_scope = builder.scope.len();
                builder.scope.push((item.clone(), item_slot, item_type));
                builder.scope.push((accumulator.clone(), accumulator_slot, initial_type.clone()));
                let body_type = self.block(builder, body)?;
                builder.scope.truncate(outer_scope);
                let joined = Self::join_types(position, &initial_type, &body_type, "of the accumulator")?;
                if joined != initial_type {
                    // The initial value has an empty list, and the body was checked without knowing its item type.
                    return Err(diagnostic(
                        position,
                        "the item type of an empty list in the initial value is unknown",
                        "start with a list that has an item",
                    ));
                }
                builder.emit(Instruction::Store(accumulator_slot), position);
                builder.emit(Instruction::Jump(loop_start as u32), position);
                builder.patch_next(next, list_slot, index_slot, item_slot);
                builder.emit(Instruction::Load(accumulator_slot), position);
                Ok(joined)
            }
            ExpressionKind::ListComprehension { element, item, list, filter } => {
                let item_type = self.list(builder, list)?;
                let (list_slot, index_slot) = self.emit_loop_setup(builder, position)?;
                builder.emit(Instruction::List(0), position);
                let result_slot = builder.allocate_slot(position)?;
                builder.emit(Instruction::Store(result_slot), position);
                let item_slot = builder.allocate_slot(position)?;
                let loop_start = builder.code.len();
                let next = builder.emit_placeholder(position);
                let outer_scope = builder.scope.len();
                builder.scope.push((item.clone(), item_slot, item_type));
                let skip_item = match filter {
                    Some(filter) => {
                        self.boolean(builder, filter)?;
                        Some(builder.emit_placeholder(position))
                    }
                    None => None,
                };
                let element_type = self.expression(builder, element)?;
                builder.scope.truncate(outer_scope);
                builder.emit(Instruction::Append(result_slot), position);
                if let Some(skip_item) = skip_item {
                    builder.patch_jump(skip_item, Instruction::JumpIfFalse);
                }
                builder.emit(Instruction::Jump(loop_start as u32), position);
                builder.patch_next(next, list_slot, index_slot, item_slot);
                builder.emit(Instruction::Load(result_slot), position);
                Ok(Type::List(Some(Box::new(element_type))))
            }
        }
    }

    /// Stores the list on the stack and an index of 0 for [`Instruction::Next`]; returns their slots.
    fn emit_loop_setup(
        &mut self,
        builder: &mut ChunkBuilder,
        position: Position,
    ) -> Result<(u16, u16), Diagnostic> {
        let (list_slot, index_slot) = (builder.allocate_slot(position)?, builder.allocate_slot(position)?);
        builder.emit(Instruction::Store(list_slot), position);
        builder.emit(Instruction::Constant(Value::Number(0.0)), position);
        builder.emit(Instruction::Store(index_slot), position);
        Ok((list_slot, index_slot))
    }

    fn binary(
        &mut self,
        builder: &mut ChunkBuilder,
        position: Position,
        operator: BinaryOperator,
        left: &Expression,
        right: &Expression,
    ) -> CheckResult {
        match operator {
            BinaryOperator::And | BinaryOperator::Or => {
                self.boolean(builder, left)?;
                let short_circuit = builder.emit_placeholder(position);
                self.boolean(builder, right)?;
                let jump_to_end = builder.emit_placeholder(position);
                let jump = if operator == BinaryOperator::And {
                    Instruction::JumpIfFalse
                } else {
                    Instruction::JumpIfTrue
                };
                builder.patch_jump(short_circuit, jump);
                let short_circuit_value = Value::Boolean(operator == BinaryOperator::Or);
                builder.emit(Instruction::Constant(short_circuit_value), position);
                builder.patch_jump(jump_to_end, Instruction::Jump);
                Ok(Type::Boolean)
            }
            BinaryOperator::Equal | BinaryOperator::NotEqual => {
                let left_type = self.expression(builder, left)?;
                let right_type = self.expression(builder, right)?;
                let context = format!("for {:?}", operator.symbol());
                Self::join_types(position, &left_type, &right_type, &context)?;
                builder.emit(Instruction::Binary(operator), position);
                Ok(Type::Boolean)
            }
            BinaryOperator::Multiply | BinaryOperator::Divide => {
                let left_unit = self.number(builder, left)?;
                let right_unit = self.number(builder, right)?;
                builder.emit(Instruction::Binary(operator), position);
                let unit = if operator == BinaryOperator::Multiply {
                    left_unit.multiply(right_unit)
                } else {
                    left_unit.divide(right_unit)
                };
                let unit = unit.ok_or_else(|| {
                    diagnostic(
                        position,
                        "the exponents of the unit overflow",
                        "multiply or divide less often",
                    )
                })?;
                Ok(Type::Number(unit))
            }
            _ => {
                let left_type = self.expression(builder, left)?;
                let right_type = self.expression(builder, right)?;
                let context = format!("for {:?}", operator.symbol());
                let joined = Self::join_types(position, &left_type, &right_type, &context)?;
                builder.emit(Instruction::Binary(operator), position);
                match (operator, joined) {
                    (BinaryOperator::Add | BinaryOperator::Subtract, Type::Number(unit)) => {
                        Ok(Type::Number(unit))
                    }
                    (BinaryOperator::Add, Type::String) => Ok(Type::String),
                    (BinaryOperator::Add | BinaryOperator::Subtract, other) => {
                        let message = format!("{:?} is not defined for {other}", operator.symbol());
                        Err(diagnostic(position, message, "use numbers"))
                    }
                    (_, Type::Number(_)) => Ok(Type::Boolean),
                    (_, other) => {
                        let message = format!("{:?} is not defined for {other}", operator.symbol());
                        Err(diagnostic(position, message, "compare numbers"))
                    }
                }
            }
        }
    }

    fn match_expression(
        &mut self,
        builder: &mut ChunkBuilder,
        position: Position,
        value: &Expression,
        arms: &[(Expression, Block)],
        default: &Block,
    ) -> CheckResult {
        let value_type = self.expression(builder, value)?;
        let value_slot = builder.allocate_slot(position)?;
        builder.emit(Instruction::Store(value_slot), position);
        let (mut jumps_to_end, mut output) = (Vec::new(), None);
        for (pattern, block) in arms {
            builder.emit(Instruction::Load(value_slot), pattern.position);
            let pattern_type = self.expression(builder, pattern)?;
            Self::join_types(pattern.position, &value_type, &pattern_type, "of the value and the pattern")?;
            builder.emit(Instruction::Binary(BinaryOperator::Equal), pattern.position);
            let jump_to_next_arm = builder.emit_placeholder(pattern.position);
            let arm_type = self.block(builder, block)?;
            output = Some(match output {
                Some(output) => Self::join_types(pattern.position, &output, &arm_type, "of match arms")?,
                None => arm_type,
            });
            jumps_to_end.push(builder.emit_placeholder(position));
            builder.patch_jump(jump_to_next_arm, Instruction::JumpIfFalse);
        }
        let default_type = self.block(builder, default)?;
        for jump in jumps_to_end {
            builder.patch_jump(jump, Instruction::Jump);
        }
        match output {
            Some(output) => Self::join_types(position, &output, &default_type, "of match arms"),
            None => Ok(default_type),
        }
    }

    fn call(
        &mut self,
        builder: &mut ChunkBuilder,
        position: Position,
        name: &str,
        arguments: &[Expression],
    ) -> CheckResult {
        let mut argument_types = Vec::new();
        for argument in arguments {
            argument_types.push(self.expression(builder, argument)?);
        }
        if let Some(builtin) = Builtin::by_name(name) {
            let output = builtin.return_type(&argument_types).ok_or_else(|| {
                let types: Vec<String> = argument_types.iter().map(Type::to_string).collect();
                let types = if types.is_empty() { "none".into() } else { types.join("; ") };
                let message = format!("invalid arguments of {name}: {types}");
                diagnostic(position, message, &format!("it returns {}", builtin.description()))
            })?;
            builder.emit(Instruction::Builtin(builtin, arguments.len() as u8), position);
            return Ok(output);
        }
        let source = self.source;
        let Some(function) = source.functions.iter().chain(&source.hooks).find(|known| known.name == name)
        else {
            let names: Vec<&str> = source.functions.iter().map(|known| known.name.as_str()).collect();
            let hint = format!("functions: {}, and the built-in functions", names.join(", "));
            return Err(diagnostic(position, format!("unknown function {name:?}"), &hint));
        };
        self.called_functions.insert(name.to_owned());
        if function.parameters.len() != arguments.len() {
            let (expected, found) = (function.parameters.len(), arguments.len());
            let message = format!("{name:?} takes {expected} arguments, found {found}");
            return Err(diagnostic(position, message, "pass one argument for each parameter"));
        }
        let (chunk, output) = self.function(function, argument_types, position)?;
        builder.emit(Instruction::Call(chunk as u32), position);
        Ok(output)
    }
}

impl ChunkBuilder {
    fn emit(&mut self, instruction: Instruction, position: Position) {
        self.code.push((instruction, position));
    }

    /// Emits an instruction that a `patch` method replaces when its target is known; returns its index.
    fn emit_placeholder(&mut self, position: Position) -> usize {
        self.emit(Instruction::Jump(0), position);
        self.code.len() - 1
    }

    /// Replaces a placeholder by a jump to the next instruction that is emitted.
    fn patch_jump(&mut self, placeholder: usize, jump: impl Fn(u32) -> Instruction) {
        self.code[placeholder].0 = jump(self.code.len() as u32);
    }

    /// Replaces a placeholder by [`Instruction::Next`], which leaves the loop for the next instruction that is emitted.
    fn patch_next(&mut self, placeholder: usize, list: u16, index: u16, item: u16) {
        let end = self.code.len() as u32;
        self.code[placeholder].0 = Instruction::Next { list, index, item, end };
    }

    fn allocate_slot(&mut self, position: Position) -> Result<u16, Diagnostic> {
        let slot = self.slot_count;
        self.slot_count =
            self.slot_count.checked_add(1).filter(|count| *count < SLOT_LIMIT).ok_or_else(|| {
                diagnostic(position, "too many local variables", "split the function into several")
            })?;
        Ok(slot)
    }
}

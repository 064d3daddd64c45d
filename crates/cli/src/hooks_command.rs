//! `shalereel hooks`: checks, formats, tests and benchmarks the source files of operators' hooks.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

use anyhow::{bail, Context, Result};
use clap::Subcommand;
use shalereel_hooks::{compile, format, hook_points, parse, Diagnostic, Limits, Program, Type, Value};

/// Subcommands of `shalereel hooks`.
#[derive(Subcommand)]
pub enum HooksCommand {
    /// Report all errors in a source file, and the hook points that it implements. Exit 1: it has errors.
    Check {
        /// Source file.
        file: PathBuf,
    },
    /// Format a source file in place. Exit 1: it has errors, or with `--check` its format differs.
    Fmt {
        /// Source file.
        file: PathBuf,
        /// Only report whether the file would change.
        #[arg(long)]
        check: bool,
    },
    /// Run the test cases in a source file. Exit 1: it has errors or a test case fails.
    Test {
        /// Source file.
        file: PathBuf,
    },
    /// Measure the time of a call of each hook in a source file.
    Bench {
        /// Source file.
        file: PathBuf,
        /// Number of calls of each hook.
        #[arg(long, default_value_t = 100_000)]
        calls: u32,
    },
}

/// Limits of one call: the number of instructions (`fuel`) and the memory. A daemon sets lower ones.
const CALL_LIMITS: Limits = Limits { fuel: 1_000_000, memory_bytes: 1 << 22 };
/// Seed of the random numbers that a hook draws; a fixed one makes runs repeatable.
const SEED: u64 = 0;

fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).with_context(|| file.display().to_string())
}

/// Prints the errors of a source file; the exit code is 1.
fn report_errors(file: &Path, errors: &[Diagnostic]) -> ExitCode {
    errors.iter().for_each(|error| eprintln!("{}:{error}", file.display()));
    ExitCode::from(1)
}

/// Compiles a source file; the inner error is the exit code after its errors have been printed.
fn compile_file(file: &Path) -> Result<Result<Program, ExitCode>> {
    let text = read(file)?;
    let compiled = parse(&text).and_then(|source| compile(&source, &hook_points()));
    Ok(compiled.map_err(|errors| report_errors(file, &errors)))
}

/// Runs a subcommand of `shalereel hooks`.
pub fn hooks(command: &HooksCommand) -> Result<ExitCode> {
    match command {
        HooksCommand::Check { file } => {
            let program = match compile_file(file)? {
                Ok(program) => program,
                Err(code) => return Ok(code),
            };
            println!(
                "{}: hooks into {}",
                file.display(),
                program.hook_names().collect::<Vec<_>>().join(", ")
            );
            Ok(ExitCode::SUCCESS)
        }
        HooksCommand::Fmt { file, check } => {
            let text = read(file)?;
            let source = match parse(&text) {
                Ok(source) => source,
                Err(errors) => return Ok(report_errors(file, &errors)),
            };
            let formatted = format(&source);
            if formatted == text {
                return Ok(ExitCode::SUCCESS);
            }
            if *check {
                println!("{} is written another way", file.display());
                return Ok(ExitCode::from(1));
            }
            // Written to another file and renamed, so that a crash never leaves a partly written source file.
            let temporary = file.with_extension("new");
            std::fs::write(&temporary, formatted).with_context(|| temporary.display().to_string())?;
            std::fs::rename(&temporary, file).with_context(|| file.display().to_string())?;
            Ok(ExitCode::SUCCESS)
        }
        HooksCommand::Test { file } => {
            let program = match compile_file(file)? {
                Ok(program) => program,
                Err(code) => return Ok(code),
            };
            let results = program.run_tests(CALL_LIMITS, SEED);
            let mut failed = 0;
            for (name, result) in &results {
                let text = match result {
                    Ok(true) => "ok".to_owned(),
                    Ok(false) => "is not so".to_owned(),
                    Err(fault) => {
                        format!("{:?} at {}:{}", fault.kind, fault.position.line, fault.position.column)
                    }
                };
                failed += usize::from(*result != Ok(true));
                println!("{name}: {text}");
            }
            println!("{} passed, {failed} failed", results.len() - failed);
            Ok(ExitCode::from(u8::from(failed > 0)))
        }
        HooksCommand::Bench { file, calls } => {
            let program = match compile_file(file)? {
                Ok(program) => program,
                Err(code) => return Ok(code),
            };
            if *calls == 0 {
                bail!("--calls must be above 0");
            }
            for point in
                hook_points().iter().filter(|point| program.hook_names().any(|hook| hook == point.name))
            {
                let inputs: Vec<Value> = point.inputs.iter().map(|input| sample_input(&input.1)).collect();
                let started = Instant::now();
                let mut fuel = 0;
                for _ in 0..*calls {
                    fuel += program.call(&point.name, &inputs, CALL_LIMITS, SEED).1.fuel;
                }
                let elapsed_s = started.elapsed().as_secs_f64();
                println!(
                    "{}: {:.0} ns a call, {} instructions each, {:.1} million instructions a second",
                    point.name,
                    elapsed_s / f64::from(*calls) * 1e9,
                    fuel / u64::from(*calls),
                    fuel as f64 / elapsed_s / 1e6
                );
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// An input of the given type for the benchmark.
fn sample_input(value_type: &Type) -> Value {
    match value_type {
        Type::Number(_) => Value::Number(1.5),
        Type::String => Value::String("hal-a".into()),
        Type::Boolean => Value::Boolean(true),
        Type::List(None) => Value::List(Rc::new(Vec::new())),
        Type::List(Some(item)) => Value::List(Rc::new(vec![sample_input(item); 8])),
        Type::Record(fields) => Value::Record(fields.values().map(sample_input).collect()),
    }
}

//! Tools for hooks: what is wrong with a source, one way to write it, its cases, and what it costs.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

use anyhow::{bail, Context, Result};
use clap::Subcommand;
use shalereel_hooks::{compile, format, hook_points, parse, Diagnostic, Limits, Program, Type, Value};

#[derive(Subcommand)]
pub enum HooksCommand {
    /// Tell all that is wrong with a source, and which points it hooks into. Exit 1: something is.
    Check { file: PathBuf },
    /// Write a source in the one way there is. Exit 1 with `--check`: it is written another way.
    Fmt {
        file: PathBuf,
        /// Only say whether it would change.
        #[arg(long)]
        check: bool,
    },
    /// Run the cases that stand in a source. Exit 1: one does not come true.
    Test { file: PathBuf },
    /// What each hook of a source costs a call.
    Bench {
        file: PathBuf,
        #[arg(long, default_value_t = 100_000)]
        calls: u32,
    },
}

/// What a case may use; a daemon gives less.
const BOUNDS: Limits = Limits { fuel: 1_000_000, memory_bytes: 1 << 22 };

fn read(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).with_context(|| file.display().to_string())
}

fn tell(file: &Path, troubles: &[Diagnostic]) -> ExitCode {
    troubles.iter().for_each(|trouble| eprintln!("{}:{trouble}", file.display()));
    ExitCode::from(1)
}

fn program(file: &Path) -> Result<Result<Program, ExitCode>> {
    let text = read(file)?;
    let compiled = parse(&text).and_then(|source| compile(&source, &hook_points()));
    Ok(compiled.map_err(|troubles| tell(file, &troubles)))
}

pub fn hooks(command: &HooksCommand) -> Result<ExitCode> {
    match command {
        HooksCommand::Check { file } => {
            let program = match program(file)? {
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
                Err(troubles) => return Ok(tell(file, &troubles)),
            };
            let written = format(&source);
            if written == text {
                return Ok(ExitCode::SUCCESS);
            }
            if *check {
                println!("{} is written another way", file.display());
                return Ok(ExitCode::from(1));
            }
            // Beside and renamed: a source is never half written.
            let fresh = file.with_extension("new");
            std::fs::write(&fresh, written).with_context(|| fresh.display().to_string())?;
            std::fs::rename(&fresh, file).with_context(|| file.display().to_string())?;
            Ok(ExitCode::SUCCESS)
        }
        HooksCommand::Test { file } => {
            let program = match program(file)? {
                Ok(program) => program,
                Err(code) => return Ok(code),
            };
            let found = program.run_tests(BOUNDS, 0);
            let mut wrong = 0;
            for (name, result) in &found {
                let word = match result {
                    Ok(true) => "ok".to_owned(),
                    Ok(false) => "is not so".to_owned(),
                    Err(fault) => {
                        format!("{:?} at {}:{}", fault.kind, fault.position.line, fault.position.column)
                    }
                };
                wrong += usize::from(*result != Ok(true));
                println!("{name}: {word}");
            }
            println!("{} passed, {wrong} failed", found.len() - wrong);
            Ok(ExitCode::from(u8::from(wrong > 0)))
        }
        HooksCommand::Bench { file, calls } => {
            let program = match program(file)? {
                Ok(program) => program,
                Err(code) => return Ok(code),
            };
            if *calls == 0 {
                bail!("0 calls tell nothing; give --calls a number above 0");
            }
            for point in
                hook_points().iter().filter(|point| program.hook_names().any(|hook| hook == point.name))
            {
                let inputs: Vec<Value> = point.inputs.iter().map(|input| sample(&input.1)).collect();
                let begun = Instant::now();
                let mut fuel = 0;
                for _ in 0..*calls {
                    fuel += program.call(&point.name, &inputs, BOUNDS, 0).1.fuel;
                }
                let span = begun.elapsed().as_secs_f64();
                println!(
                    "{}: {:.0} ns a call, {} instructions each, {:.1} million instructions a second",
                    point.name,
                    span / f64::from(*calls) * 1e9,
                    fuel / u64::from(*calls),
                    fuel as f64 / span / 1e6
                );
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Some value of a type.
fn sample(of: &Type) -> Value {
    match of {
        Type::Number(_) => Value::Number(1.5),
        Type::String => Value::String("hal-a".into()),
        Type::Boolean => Value::Boolean(true),
        Type::List(None) => Value::List(Rc::new(Vec::new())),
        Type::List(Some(item)) => Value::List(Rc::new(vec![sample(item); 8])),
        Type::Record(fields) => Value::Record(fields.values().map(sample).collect()),
    }
}

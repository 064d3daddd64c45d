//! `shalereel drill`.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use shalereel_fault_scenarios::{convert_bench_scenario, json_report, run_scenario, text_report, Scenario};

/// Exit 0: the day stands; 1: it does not.
pub fn drill(file: &Path, json: bool, keep: Option<PathBuf>) -> Result<ExitCode> {
    let day = Scenario::read(file)?;
    let kept = keep.is_some();
    let folder =
        keep.unwrap_or_else(|| std::env::temp_dir().join(format!("shalereel-drill-{}", std::process::id())));
    let program = std::env::current_exe().context("this program's own file")?;
    // One line on a terminal, written over; elsewhere a line whenever the trouble changes.
    let terminal = std::io::stderr().is_terminal();
    let mut last = String::new();
    let mut progress = |line: &str| {
        let trouble = line.split(": ").last().unwrap_or_default();
        if terminal {
            eprint!("\r{line:<60}{}", if trouble == "over" { "\n" } else { "" });
        } else if trouble != last {
            eprintln!("{line}");
        }
        last = trouble.to_owned();
    };
    let verdict = run_scenario(&program, &folder, &day, &mut progress);
    if !kept {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let verdict = verdict?;
    println!("{}", if json { json_report(&verdict) } else { text_report(&verdict) });
    Ok(if verdict.passed() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

pub fn drill_from(day: &Path, fleet: &Path) -> Result<()> {
    let read = |file: &Path| std::fs::read_to_string(file).with_context(|| file.display().to_string());
    print!("{}", convert_bench_scenario(&read(day)?, &read(fleet)?)?);
    Ok(())
}

//! `shalereel drill` and `shalereel drill-from`: run drills and convert bench scenarios to drills.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use shalereel_fault_scenarios::{convert_bench_scenario, json_report, run_scenario, text_report, Scenario};

/// Runs a drill and prints its results. Its traces and logs are written to the folder `keep`; without it they are
/// deleted. Exit code 0: all its rules and expectations are met; 1: one is not.
pub fn drill(file: &Path, json: bool, keep: Option<PathBuf>) -> Result<ExitCode> {
    let scenario = Scenario::read(file)?;
    let keep_folder = keep.is_some();
    let folder =
        keep.unwrap_or_else(|| std::env::temp_dir().join(format!("shalereel-drill-{}", std::process::id())));
    let program = std::env::current_exe().context("path of the running executable")?;
    // A terminal shows one line that is overwritten; other outputs get a line only when the current fault, the end of
    // the progress line, changes. At the end of the drill that text is "over".
    let terminal = std::io::stderr().is_terminal();
    let mut last_fault = String::new();
    let mut progress = |line: &str| {
        let fault = line.split(": ").last().unwrap_or_default();
        if terminal {
            eprint!("\r{line:<60}{}", if fault == "over" { "\n" } else { "" });
        } else if fault != last_fault {
            eprintln!("{line}");
        }
        last_fault = fault.to_owned();
    };
    let verdict = run_scenario(&program, &folder, &scenario, &mut progress);
    if !keep_folder {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let verdict = verdict?;
    println!("{}", if json { json_report(&verdict) } else { text_report(&verdict) });
    Ok(if verdict.passed() { ExitCode::SUCCESS } else { ExitCode::from(1) })
}

/// Prints a drill with the faults of a bench scenario, and the fleet, demand and rules of the drill file `template`.
pub fn drill_from(bench_scenario: &Path, template: &Path) -> Result<()> {
    let read = |file: &Path| std::fs::read_to_string(file).with_context(|| file.display().to_string());
    print!("{}", convert_bench_scenario(&read(bench_scenario)?, &read(template)?)?);
    Ok(())
}

//! `shalereel expect`: checks routing expectations without traffic.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::Args;
use shalereel_routing_checks::{check_expectations, parse_captured_table, read_expectations};
use shalereel_xds_supervisor::Deployment;

#[derive(Args)]
pub struct ExpectArguments {
    /// Folder with expectation files, in the format of `docs/expect.md`.
    folder: PathBuf,
    /// Deployment file with which the expectations are checked.
    #[arg(long)]
    config: PathBuf,
    /// Check only this table, a file with the output of `shalereel tables ADDRESS --json show`.
    #[arg(long)]
    table: Option<PathBuf>,
}

/// Paths of the TOML files in `folder` with an `[[expect]]` section, in order of name.
fn expectation_files(folder: &Path) -> Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder).with_context(|| format!("folder {}", folder.display()))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry?.path();
        let text = path
            .extension()
            .is_some_and(|extension| extension == "toml")
            .then(|| std::fs::read_to_string(&path));
        if text.transpose()?.is_some_and(|text| text.lines().any(|line| line.trim() == "[[expect]]")) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Checks the expectations in a folder and prints those that are not met or contradict a rule. Exit code 1: there is
/// such an expectation.
pub fn expect(arguments: &ExpectArguments) -> Result<ExitCode> {
    let deployment = Deployment::read(&arguments.config)?;
    let captured = match &arguments.table {
        Some(path) => {
            let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
            let captured_table = parse_captured_table(&text, &deployment).map_err(anyhow::Error::msg);
            Some(captured_table.with_context(|| path.display().to_string())?)
        }
        None => None,
    };
    let (mut count, mut failed) = (0, 0);
    for file in expectation_files(&arguments.folder)? {
        let expectations = read_expectations(&file, &deployment)?;
        count += expectations.expectations.len();
        if let Some(captured_table) = &captured {
            for expectation in &expectations.expectations {
                if let Some((value, server)) = expectation.violation(captured_table) {
                    failed += 1;
                    println!(
                        "FAILS {:?}: {value:.4} in the captured table{}",
                        expectation.name,
                        server_suffix(server)
                    );
                }
            }
            continue;
        }
        let report = check_expectations(&deployment, &expectations);
        println!("{}: {} fleets, {} tables", file.display(), report.fleets, report.tables);
        for violation in &report.violations {
            println!(
                "FAILS {:?}: {:.4}, {} asked for{}; with {} servers {}, {} ms after",
                violation.name,
                violation.value,
                violation.bound,
                server_suffix(violation.server),
                violation.servers,
                violation.shape,
                violation.at_ms
            );
        }
        for contradiction in &report.contradictions {
            println!(
                "AGAINST A RULE {:?}: {} asked for; with {} servers {} the rule {:?} allows {:.4}",
                contradiction.name,
                contradiction.bound,
                contradiction.servers,
                contradiction.shape,
                contradiction.rule,
                contradiction.allowed
            );
        }
        failed += report.violations.len() + report.contradictions.len();
    }
    if count == 0 {
        anyhow::bail!("{} contains no expectation", arguments.folder.display());
    }
    println!("{count} expectations, {failed} not met");
    Ok(ExitCode::from(u8::from(failed > 0)))
}

/// ", server N" for a line that concerns one server, else nothing.
fn server_suffix(server: Option<u32>) -> String {
    server.map(|server| format!(", server {server}")).unwrap_or_default()
}

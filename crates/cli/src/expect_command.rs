//! Expectations of routing, run without traffic.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::Args;
use shalereel_routing_checks::{check_expectations, parse_captured_table, read_expectations};
use shalereel_xds_supervisor::Deployment;

#[derive(Args)]
pub struct ExpectArguments {
    /// A folder with files of expectations, as `docs/expect.md` describes them.
    folder: PathBuf,
    /// The deployment that they are run for.
    #[arg(long)]
    config: PathBuf,
    /// Look at this table alone, as `shalereel tables ADDRESS --json show` printed it.
    #[arg(long)]
    table: Option<PathBuf>,
}

fn files(folder: &Path) -> Result<Vec<PathBuf>> {
    let entries = std::fs::read_dir(folder).with_context(|| format!("folder {}", folder.display()))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry?.path();
        let text = path.extension().is_some_and(|end| end == "toml").then(|| std::fs::read_to_string(&path));
        if text.transpose()?.is_some_and(|text| text.lines().any(|line| line.trim() == "[[expect]]")) {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

/// Exit 1: an expectation is not met, or can't be.
pub fn expect(arguments: &ExpectArguments) -> Result<ExitCode> {
    let deployment = Deployment::read(&arguments.config)?;
    let table = match &arguments.table {
        Some(path) => {
            let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
            let view = parse_captured_table(&text, &deployment).map_err(anyhow::Error::msg);
            Some(view.with_context(|| path.display().to_string())?)
        }
        None => None,
    };
    let (mut count, mut wrong) = (0, 0);
    for file in files(&arguments.folder)? {
        let told = read_expectations(&file, &deployment)?;
        count += told.expectations.len();
        if let Some(view) = &table {
            for one in &told.expectations {
                if let Some((figure, server)) = one.violation(view) {
                    wrong += 1;
                    println!("FAILS {:?}: {figure:.4} in the captured table{}", one.name, of(server));
                }
            }
            continue;
        }
        let found = check_expectations(&deployment, &told);
        println!("{}: {} fleets, {} tables", file.display(), found.fleets, found.tables);
        for one in &found.violations {
            println!(
                "FAILS {:?}: {:.4}, {} asked for{}; with {} servers {}, {} ms after",
                one.name,
                one.value,
                one.bound,
                of(one.server),
                one.servers,
                one.shape,
                one.at_ms
            );
        }
        for one in &found.contradictions {
            println!(
                "AGAINST A RULE {:?}: {} asked for; with {} servers {} the rule {:?} allows {:.4}",
                one.name, one.bound, one.servers, one.shape, one.rule, one.allowed
            );
        }
        wrong += found.violations.len() + found.contradictions.len();
    }
    if count == 0 {
        anyhow::bail!("{} holds no expectation", arguments.folder.display());
    }
    println!("{count} expectations, {wrong} not met");
    Ok(ExitCode::from(u8::from(wrong > 0)))
}

fn of(server: Option<u32>) -> String {
    server.map(|server| format!(", server {server}")).unwrap_or_default()
}

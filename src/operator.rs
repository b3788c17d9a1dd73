//! Operators' own settings (HCL), beyond what the platform hands over. All are
//! optional; unknown names and values out of range stop the start.

use marblebarrow_core::facts::Tuning;
use serde::Deserialize;
use std::path::Path;

/// The file's form: a few numbers in one block.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    tuning: Block,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Block {
    thin_limit: Option<u32>,
    pilot_share: Option<f64>,
    warm_factor: Option<f64>,
    idle_s: Option<f64>,
}

/// Reads and checks an operators' file; the error names file, field and reason.
pub fn load(path: &Path) -> Result<Tuning, String> {
    let file = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{file}: (file): {e}"))?;
    parse(&text).map_err(|(field, why)| format!("{file}: {field}: {why}"))
}

fn parse(text: &str) -> Result<Tuning, (&'static str, String)> {
    let one_line = |s: String| s.split_whitespace().collect::<Vec<_>>().join(" ");
    let file: File = hcl::from_str(text).map_err(|e| ("(syntax)", one_line(e.to_string())))?;
    let within = |field, given: Option<f64>, default, lo, hi| match given {
        Some(n) if !(lo..=hi).contains(&n) => Err((field, format!("{n} is not in {lo} to {hi}"))),
        given => Ok(given.unwrap_or(default)),
    };
    let d = Tuning::default();
    let t = file.tuning;
    let thin = within(
        "tuning.thin_limit",
        t.thin_limit.map(f64::from),
        f64::from(d.thin_limit),
        1.0,
        1e5,
    )?;
    Ok(Tuning {
        thin_limit: thin as u32,
        pilot_share: within("tuning.pilot_share", t.pilot_share, d.pilot_share, 0.0, 1.0)?,
        warm_factor: within("tuning.warm_factor", t.warm_factor, d.warm_factor, 0.0, 10.0)?,
        idle_s: within("tuning.idle_s", t.idle_s, d.idle_s, 0.0, 3_600.0)?,
    })
}

#[cfg(test)]
#[path = "tests/operator.rs"]
mod tests;

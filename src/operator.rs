//! Operators' own settings (HCL), in addition to those provided by the platform. All are
//! optional; unknown names and values out of range stop the program at startup.

use marblebarrow_core::facts::Tuning;
use serde::Deserialize;
use std::ops::RangeInclusive;
use std::path::Path;

const THIN_LIMIT_RANGE: RangeInclusive<f64> = 1.0..=1e5;
const PILOT_SHARE_RANGE: RangeInclusive<f64> = 0.0..=1.0;
const WARM_FACTOR_RANGE: RangeInclusive<f64> = 0.0..=10.0;
const IDLE_S_RANGE: RangeInclusive<f64> = 0.0..=3_600.0;

/// An error in an operators' file, with file, field and reason.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {error}")]
pub struct OperatorFileError {
    file: String,
    error: FieldError,
}

/// An error in a field or in the file's syntax.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{field}: {reason}")]
struct FieldError {
    field: &'static str,
    reason: String,
}

/// Contents of the file: one block of numbers.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorFile {
    #[serde(default)]
    tuning: TuningBlock,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct TuningBlock {
    thin_limit: Option<u32>,
    pilot_share: Option<f64>,
    warm_factor: Option<f64>,
    idle_s: Option<f64>,
}

/// Reads and checks an operators' file.
pub fn load(path: &Path) -> Result<Tuning, OperatorFileError> {
    let with_file = |error| OperatorFileError { file: path.display().to_string(), error };
    let text = std::fs::read_to_string(path)
        .map_err(|error| with_file(FieldError { field: "(file)", reason: error.to_string() }))?;
    parse(&text).map_err(with_file)
}

fn parse(text: &str) -> Result<Tuning, FieldError> {
    let file: OperatorFile = hcl::from_str(text)
        .map_err(|error| FieldError { field: "(syntax)", reason: one_line(&error.to_string()) })?;
    let given = file.tuning;
    let default = Tuning::default();
    let thin_limit = given.thin_limit.unwrap_or(default.thin_limit);
    let pilot_share = given.pilot_share.unwrap_or(default.pilot_share);
    let warm_factor = given.warm_factor.unwrap_or(default.warm_factor);
    let idle_s = given.idle_s.unwrap_or(default.idle_s);
    check("tuning.thin_limit", f64::from(thin_limit), &THIN_LIMIT_RANGE)?;
    check("tuning.pilot_share", pilot_share, &PILOT_SHARE_RANGE)?;
    check("tuning.warm_factor", warm_factor, &WARM_FACTOR_RANGE)?;
    check("tuning.idle_s", idle_s, &IDLE_S_RANGE)?;
    Ok(Tuning { thin_limit, pilot_share, warm_factor, idle_s })
}

fn check(field: &'static str, value: f64, range: &RangeInclusive<f64>) -> Result<(), FieldError> {
    if range.contains(&value) {
        return Ok(());
    }
    let (low, high) = (range.start(), range.end());
    Err(FieldError { field, reason: format!("{value} is not in {low} to {high}") })
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
#[path = "tests/operator.rs"]
mod tests;

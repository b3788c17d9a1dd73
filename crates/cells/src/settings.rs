//! The operators' configuration file for cells (HCL, `--cells FILE`) and its validation.

use marblebarrow_proto::ids::CellName;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// Default wait before a job may move, in seconds: longer than most boots.
const PATIENCE_S: f64 = 30.0;
/// Default age above which another cell's report is ignored, in seconds: a few lost exchanges.
const REPORT_AGE_S: f64 = 5.0;
/// Default limit on transfers in flight to one cell.
const TRANSFERS_MAX: u32 = 64;
/// Default limit on the size of a message, in KiB: an offer with the longest names, or the states
/// of 256 jobs.
const MESSAGE_KB: u32 = 64;
/// Longest name of a cell. The name becomes part of keys in the state service.
const NAME_MAX: usize = 40;

/// Another cell that jobs may move to or come from.
#[derive(Clone, Debug, PartialEq)]
pub struct OtherCell {
    /// The cell's name.
    pub name: CellName,
    /// Addresses on which the cell's controllers listen for other cells.
    pub controllers: Vec<SocketAddr>,
}

/// The operators' settings for cells.
#[derive(Clone, Debug, PartialEq)]
pub struct CellsSettings {
    /// The name of this cell.
    pub name: CellName,
    /// Address on which this controller listens for other cells.
    pub listen: SocketAddr,
    /// The other configured cells.
    pub others: Vec<OtherCell>,
    /// Seconds that a job waits in its home cell before it may move.
    pub patience_s: f64,
    /// CPUs reserved for this cell's own jobs.
    pub reserve_cpus: f64,
    /// Age above which a cell's report is ignored, in seconds.
    pub report_age_s: f64,
    /// Limit on transfers in flight to one cell, and on decisions on offers being recorded.
    pub transfers_max: usize,
    /// Largest message, in bytes.
    pub message_bytes: usize,
    /// The script that chooses among cells with room, if there is one.
    pub policy: Option<String>,
}

/// Why a file cannot be used: names the file, the field and the reason.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{file}: {field}: {reason}")]
pub struct CellsSettingsError {
    file: String,
    field: String,
    reason: String,
}

/// An error in the content of a file.
#[derive(Debug, PartialEq)]
pub struct FieldError {
    /// The invalid field.
    pub field: String,
    /// Why the field is invalid.
    pub reason: String,
}

impl FieldError {
    fn new(field: &str, reason: impl Into<String>) -> Self {
        Self { field: field.to_owned(), reason: reason.into() }
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    listen: String,
    #[serde(default)]
    cell: Cells,
    patience_s: Option<f64>,
    reserve_cpus: Option<f64>,
    report_age_s: Option<f64>,
    transfers_max: Option<u32>,
    message_kb: Option<u32>,
    policy: Option<String>,
}

/// The HCL parser yields a single block as a map and several blocks as a list of maps.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Cells {
    One(Cell),
    Several(Vec<Cell>),
}

impl Default for Cells {
    fn default() -> Self {
        Self::Several(Vec::new())
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Cell {
    name: String,
    controllers: Vec<String>,
}

impl CellsSettings {
    /// Reads and validates a file.
    pub fn load(path: &Path) -> Result<Self, CellsSettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| CellsSettingsError {
            file: file.clone(),
            field: "(file)".into(),
            reason: error.to_string(),
        })?;
        Self::parse(&text).map_err(|FieldError { field, reason }| CellsSettingsError {
            file,
            field,
            reason,
        })
    }

    /// Parses and validates the content of a file.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        let to_one_line = |s: String| s.split_whitespace().collect::<Vec<_>>().join(" ");
        let file: File = hcl::from_str(text)
            .map_err(|error| FieldError::new("(syntax)", to_one_line(error.to_string())))?;
        let name = cell_name("name", &file.name)?;
        let others = other_cells(&name, file.cell)?;
        let policy = file.policy;
        if let Some(script) = &policy {
            crate::policy::Policy::compile(script)
                .map_err(|error| FieldError::new("policy", to_one_line(error.to_string())))?;
        }
        Ok(Self {
            listen: address("listen", &file.listen)?,
            name,
            others,
            patience_s: number_in_range("patience_s", file.patience_s, PATIENCE_S, 1.0, 86_400.0)?,
            reserve_cpus: number_in_range("reserve_cpus", file.reserve_cpus, 0.0, 0.0, 1e9)?,
            report_age_s: number_in_range(
                "report_age_s",
                file.report_age_s,
                REPORT_AGE_S,
                1.0,
                600.0,
            )?,
            transfers_max: count_in_range(
                "transfers_max",
                file.transfers_max,
                TRANSFERS_MAX,
                1,
                10_000,
            )?,
            message_bytes: count_in_range("message_kb", file.message_kb, MESSAGE_KB, 16, 1_024)?
                * 1_024,
            policy,
        })
    }
}

fn cell_name(field: &str, text: &str) -> Result<CellName, FieldError> {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if text.is_empty() || text.len() > NAME_MAX || !text.chars().all(plain) {
        let reason = format!("`{text}` is not 1 to {NAME_MAX} letters, digits, - or _");
        return Err(FieldError::new(field, reason));
    }
    Ok(CellName::new(text))
}

fn address(field: &str, text: &str) -> Result<SocketAddr, FieldError> {
    text.parse().map_err(|_| FieldError::new(field, format!("`{text}` is not an address and port")))
}

fn other_cells(own: &CellName, cells: Cells) -> Result<Vec<OtherCell>, FieldError> {
    let cells = match cells {
        Cells::One(cell) => vec![cell],
        Cells::Several(cells) => cells,
    };
    let mut seen = BTreeSet::new();
    let mut others = Vec::new();
    for cell in cells {
        let name = cell_name("cell.name", &cell.name)?;
        if name == *own {
            return Err(FieldError::new("cell.name", format!("`{name}` is this cell")));
        }
        if !seen.insert(name.clone()) {
            return Err(FieldError::new("cell.name", format!("`{name}` is listed twice")));
        }
        if cell.controllers.is_empty() {
            return Err(FieldError::new("cell.controllers", format!("`{name}` has none")));
        }
        let controllers: Result<Vec<_>, _> =
            cell.controllers.iter().map(|text| address("cell.controllers", text)).collect();
        others.push(OtherCell { name, controllers: controllers? });
    }
    Ok(others)
}

fn number_in_range(
    field: &str,
    given: Option<f64>,
    default: f64,
    minimum: f64,
    maximum: f64,
) -> Result<f64, FieldError> {
    match given {
        Some(n) if !(minimum..=maximum).contains(&n) => {
            Err(FieldError::new(field, format!("{n} is not in {minimum} to {maximum}")))
        }
        given => Ok(given.unwrap_or(default)),
    }
}

fn count_in_range(
    field: &str,
    given: Option<u32>,
    default: u32,
    minimum: u32,
    maximum: u32,
) -> Result<usize, FieldError> {
    match given {
        Some(n) if !(minimum..=maximum).contains(&n) => {
            Err(FieldError::new(field, format!("{n} is not in {minimum} to {maximum}")))
        }
        given => Ok(given.unwrap_or(default) as usize),
    }
}

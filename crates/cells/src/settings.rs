//! The operators' file for cells (HCL, `--cells FILE`), and its checks.

use marblebarrow_proto::ids::CellName;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;

/// Default wait before a job may move, seconds: longer than most boots.
const PATIENCE_S: f64 = 30.0;
/// Default age after which another cell's report counts for nothing, seconds: a few lost
/// exchanges.
const REPORT_AGE_S: f64 = 5.0;
/// Default of transfers under way at once.
const TRANSFERS_MAX: u32 = 64;
/// Default bound of a message, KiB: an offer with the longest names, or 256 jobs' states.
const MESSAGE_KB: u32 = 64;
/// Longest name of a cell: it becomes part of keys of the state service.
const NAME_MAX: usize = 40;

/// Another cell.
#[derive(Clone, Debug, PartialEq)]
pub struct OtherCell {
    /// Its name.
    pub name: CellName,
    /// Where its controllers listen for cells.
    pub controllers: Vec<SocketAddr>,
}

/// What operators set of cells.
#[derive(Clone, Debug, PartialEq)]
pub struct CellsSettings {
    /// This cell.
    pub name: CellName,
    /// Where this controller listens for cells.
    pub listen: SocketAddr,
    /// The other cells.
    pub others: Vec<OtherCell>,
    /// A job waits so long at home before it may move, seconds.
    pub patience_s: f64,
    /// CPUs kept free for this cell's own work.
    pub reserve_cpus: f64,
    /// Age at which a cell's report counts for nothing, seconds.
    pub report_age_s: f64,
    /// Transfers under way at once.
    pub transfers_max: usize,
    /// Largest message, bytes.
    pub message_bytes: usize,
    /// The script that chooses among cells with room.
    pub policy: Option<String>,
}

/// Why a file can't be used: names file, field and reason.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("{file}: {field}: {reason}")]
pub struct CellsSettingsError {
    file: String,
    field: String,
    reason: String,
}

/// A fault in the text of a file.
#[derive(Debug, PartialEq)]
pub struct FieldError {
    /// The field.
    pub field: String,
    /// What is wrong with it.
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

/// One block reads as a map, several as a list of them.
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
    /// Reads and checks a file.
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

    /// Checks a file's text.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        let one_line = |s: String| s.split_whitespace().collect::<Vec<_>>().join(" ");
        let file: File = hcl::from_str(text)
            .map_err(|error| FieldError::new("(syntax)", one_line(error.to_string())))?;
        let name = cell_name("name", &file.name)?;
        let others = other_cells(&name, file.cell)?;
        let policy = file.policy;
        if let Some(script) = &policy {
            crate::policy::Policy::compile(script)
                .map_err(|error| FieldError::new("policy", one_line(error.to_string())))?;
        }
        Ok(Self {
            listen: address("listen", &file.listen)?,
            name,
            others,
            patience_s: within("patience_s", file.patience_s, PATIENCE_S, 1.0, 86_400.0)?,
            reserve_cpus: within("reserve_cpus", file.reserve_cpus, 0.0, 0.0, 1e9)?,
            report_age_s: within("report_age_s", file.report_age_s, REPORT_AGE_S, 1.0, 600.0)?,
            transfers_max: count("transfers_max", file.transfers_max, TRANSFERS_MAX, 1, 10_000)?,
            message_bytes: count("message_kb", file.message_kb, MESSAGE_KB, 16, 1_024)? * 1_024,
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

fn within(
    field: &str,
    given: Option<f64>,
    default: f64,
    least: f64,
    most: f64,
) -> Result<f64, FieldError> {
    match given {
        Some(n) if !(least..=most).contains(&n) => {
            Err(FieldError::new(field, format!("{n} is not in {least} to {most}")))
        }
        given => Ok(given.unwrap_or(default)),
    }
}

fn count(
    field: &str,
    given: Option<u32>,
    default: u32,
    least: u32,
    most: u32,
) -> Result<usize, FieldError> {
    match given {
        Some(n) if !(least..=most).contains(&n) => {
            Err(FieldError::new(field, format!("{n} is not in {least} to {most}")))
        }
        given => Ok(given.unwrap_or(default) as usize),
    }
}

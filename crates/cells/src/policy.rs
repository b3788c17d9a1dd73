//! The operators' script that chooses a target cell. It receives a job and the cells with room for
//! it, and returns the name of one of them. It has no access to anything else, and its operations,
//! memory and recursion depth are limited.

use crate::capacity::CapacityReport;
use marblebarrow_proto::ids::CellName;
use marblebarrow_proto::job::JobSpec;
use rhai::{AST, Array, Dynamic, Engine, Map, Scope};
use std::sync::Arc;

/// The function that a script must define: `choose(job, cells)`.
const ENTRY_POINT: &str = "choose";
/// Limit on the operations of one choice: thousands of times what a short comparison of cells
/// needs.
const OPERATIONS_MAX: u64 = 50_000;
/// Limit on nested function calls.
const CALL_DEPTH_MAX: usize = 8;
/// Limit on the nesting depth of expressions.
const EXPR_DEPTH_MAX: usize = 32;
/// Longest string, in bytes.
const STRING_BYTES_MAX: usize = 4 * 1024;
/// Most entries of an array or map.
const ITEMS_MAX: usize = 1_000;
/// Most variables in scope at once.
const VARIABLES_MAX: usize = 64;

/// Why a script cannot be used, or why a choice failed.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum PolicyError {
    /// The script does not compile.
    #[error("can't be compiled: {0}")]
    Compile(String),
    /// The script failed or exceeded a limit.
    #[error("failed: {0}")]
    Run(String),
    /// The script returned something other than the name of a candidate.
    #[error("chose `{0}`, which is none of the cells given")]
    InvalidChoice(String),
}

/// A cell that a script may choose.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The cell's name.
    pub cell: &'a CellName,
    /// The cell's latest capacity report.
    pub report: &'a CapacityReport,
}

/// A compiled script.
#[derive(Clone)]
pub struct Policy {
    engine: Arc<Engine>,
    script: AST,
}

impl std::fmt::Debug for Policy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Policy")
    }
}

impl Policy {
    /// Compiles a script, which must define `choose(job, cells)`.
    pub fn compile(script: &str) -> Result<Self, PolicyError> {
        let engine = engine();
        let script =
            engine.compile(script).map_err(|error| PolicyError::Compile(error.to_string()))?;
        let defined = script.iter_functions().any(|f| f.name == ENTRY_POINT && f.params.len() == 2);
        if !defined {
            return Err(PolicyError::Compile(format!("no function {ENTRY_POINT}(job, cells)")));
        }
        Ok(Self { engine: Arc::new(engine), script: script.clone_functions_only() })
    }

    /// Returns the index of the candidate that the script chooses.
    pub fn choose(
        &self,
        spec: &JobSpec,
        candidates: &[Candidate<'_>],
    ) -> Result<usize, PolicyError> {
        let cells: Array = candidates.iter().map(|c| Dynamic::from_map(cell_map(c))).collect();
        let chosen: Dynamic = self
            .engine
            .call_fn(&mut Scope::new(), &self.script, ENTRY_POINT, (job_map(spec), cells))
            .map_err(|error| PolicyError::Run(error.to_string()))?;
        let Ok(name) = chosen.clone().into_string() else {
            return Err(PolicyError::InvalidChoice(chosen.type_name().to_owned()));
        };
        let index = candidates.iter().position(|c| c.cell.as_str() == name);
        index.ok_or_else(|| PolicyError::InvalidChoice(name.chars().take(40).collect()))
    }
}

fn engine() -> Engine {
    let mut engine = Engine::new();
    engine
        .set_max_operations(OPERATIONS_MAX)
        .set_max_call_levels(CALL_DEPTH_MAX)
        .set_max_expr_depths(EXPR_DEPTH_MAX, EXPR_DEPTH_MAX)
        .set_max_string_size(STRING_BYTES_MAX)
        .set_max_array_size(ITEMS_MAX)
        .set_max_map_size(ITEMS_MAX)
        .set_max_variables(VARIABLES_MAX)
        .on_print(|_| {})
        .on_debug(|_, _, _| {})
        .disable_symbol("eval");
    engine
}

fn job_map(spec: &JobSpec) -> Map {
    let mut map = Map::new();
    map.insert("id".into(), spec.id.as_str().to_owned().into());
    map.insert("class".into(), spec.class.clone().into());
    map.insert("team".into(), spec.team.clone().into());
    map.insert("tasks".into(), i64::from(spec.tasks).into());
    map.insert("cpus".into(), spec.cpus.into());
    map.insert("gpus".into(), spec.gpus.into());
    map.insert("memory_gb".into(), spec.memory_gb.into());
    map.insert("image".into(), spec.image.clone().into());
    map
}

fn cell_map(candidate: &Candidate<'_>) -> Map {
    let images = candidate.report.images.iter().map(|image| Dynamic::from(image.clone()));
    let mut map = Map::new();
    map.insert("name".into(), candidate.cell.as_str().to_owned().into());
    map.insert("free_cpus".into(), candidate.report.free_cpus().into());
    map.insert("rentable".into(), i64::from(candidate.report.rentable()).into());
    map.insert("images".into(), images.collect::<Array>().into());
    map
}

//! The operators' script that chooses among cells with room. It is given a job and the cells
//! that the rules allow, and names one of them; it can reach nothing else, and its steps,
//! memory and depth are bounded.

use crate::capacity::CapacityReport;
use marblebarrow_proto::ids::CellName;
use marblebarrow_proto::job::JobSpec;
use rhai::{AST, Array, Dynamic, Engine, Map, Scope};
use std::sync::Arc;

/// The function that a script must define: `choose(job, cells)`.
const FUNCTION: &str = "choose";
/// Operations that one choice may take: thousands of times a short comparison of cells.
const OPERATIONS_MAX: u64 = 50_000;
/// Calls within calls.
const CALLS_MAX: usize = 8;
/// Depth of expressions.
const DEPTH_MAX: usize = 32;
/// Longest text, bytes.
const TEXT_MAX: usize = 4 * 1024;
/// Largest list or map.
const ITEMS_MAX: usize = 1_000;
/// Variables at once.
const VARIABLES_MAX: usize = 64;

/// A script that can't be used, or a choice that failed.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum PolicyError {
    /// The text is no script.
    #[error("can't be compiled: {0}")]
    Compile(String),
    /// It failed, or took too much.
    #[error("failed: {0}")]
    Run(String),
    /// It named no cell that it was given.
    #[error("chose `{0}`, which is none of the cells given")]
    Nonsense(String),
}

/// A cell that a script may choose.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub cell: &'a CellName,
    /// Its last report.
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
    /// Compiles a script; it must define `choose(job, cells)`.
    pub fn compile(script: &str) -> Result<Self, PolicyError> {
        let engine = engine();
        let script =
            engine.compile(script).map_err(|error| PolicyError::Compile(error.to_string()))?;
        let defined = script.iter_functions().any(|f| f.name == FUNCTION && f.params.len() == 2);
        if !defined {
            return Err(PolicyError::Compile(format!("no function {FUNCTION}(job, cells)")));
        }
        Ok(Self { engine: Arc::new(engine), script: script.clone_functions_only() })
    }

    /// The index of the candidate that the script names.
    pub fn choose(
        &self,
        spec: &JobSpec,
        candidates: &[Candidate<'_>],
    ) -> Result<usize, PolicyError> {
        let cells: Array = candidates.iter().map(|c| Dynamic::from_map(cell_map(c))).collect();
        let chosen: Dynamic = self
            .engine
            .call_fn(&mut Scope::new(), &self.script, FUNCTION, (job_map(spec), cells))
            .map_err(|error| PolicyError::Run(error.to_string()))?;
        let Ok(name) = chosen.clone().into_string() else {
            return Err(PolicyError::Nonsense(chosen.type_name().to_owned()));
        };
        let index = candidates.iter().position(|c| c.cell.as_str() == name);
        index.ok_or_else(|| PolicyError::Nonsense(name.chars().take(40).collect()))
    }
}

fn engine() -> Engine {
    let mut engine = Engine::new();
    engine
        .set_max_operations(OPERATIONS_MAX)
        .set_max_call_levels(CALLS_MAX)
        .set_max_expr_depths(DEPTH_MAX, DEPTH_MAX)
        .set_max_string_size(TEXT_MAX)
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

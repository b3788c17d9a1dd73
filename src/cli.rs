//! The command line.

use crate::cells_cli;
use crate::http::Client;
use crate::job_cli::{CALL_TIMEOUT, call, job_body};
use crate::operator::OperatorFileError;
use crate::settings::{Settings, SettingsError};
use clap::{Parser, Subcommand};
use marblebarrow_cells::settings::{CellsSettings, CellsSettingsError};
use marblebarrow_rehearsal::scenario::Scenario;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

/// Exit code for invalid settings or arguments.
const EXIT_USAGE_ERROR: u8 = 2;

/// A cluster scheduler: leased leader, task-sampling queues, rented machines.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    /// Settings file (TOML); without a command, serves
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Operators' own settings (HCL), optional
    #[arg(long, value_name = "FILE", global = true)]
    operator: Option<PathBuf>,
    /// This cell and the others (HCL), optional
    #[arg(long, value_name = "FILE", global = true)]
    cells: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Cmd>,
}

#[derive(Debug, Subcommand)]
enum Cmd {
    /// Serve as a controller
    Serve {
        /// Settings file (TOML)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Check a settings file and print a summary
    Check {
        /// Settings file (TOML)
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Submit a job described in a TOML file with the protocol's field names
    Submit {
        /// A controller or the load balancer
        #[arg(long, value_name = "IP:PORT")]
        server: SocketAddr,
        /// The job
        file: PathBuf,
    },
    /// Show the status of a job
    Status {
        /// A controller or the load balancer
        #[arg(long, value_name = "IP:PORT")]
        server: SocketAddr,
        /// The job's id
        job: String,
    },
    /// Show cells, links, capacity and transfers, or declare a cell lost
    Cells {
        /// Address on which a controller serves other cells
        #[arg(long, value_name = "IP:PORT")]
        server: SocketAddr,
        /// A cell that is permanently lost, whose jobs may start again in their home cell
        #[arg(long, value_name = "CELL")]
        declare_lost: Option<String>,
        /// The cell's name again, as a confirmation
        #[arg(long, value_name = "CELL", requires = "declare_lost")]
        typed_name: Option<String>,
    },
    /// Rehearse failures in simulated time; exits with 0 on a pass, 1 if an invariant was
    /// violated
    Rehearse {
        /// Name of the rehearsal; without a name, lists them
        name: Option<String>,
        /// Seed of all random choices
        #[arg(long, default_value_t = 0)]
        seed: u64,
    },
    /// Show each controller, its version and format, and for how long it has been seen with them
    Members {
        /// A controller or the load balancer
        #[arg(long, value_name = "IP:PORT")]
        server: SocketAddr,
    },
    /// Cancel a job
    Cancel {
        /// A controller or the load balancer
        #[arg(long, value_name = "IP:PORT")]
        server: SocketAddr,
        /// The job's id
        job: String,
    },
}

impl Cli {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        match (self.command, self.config) {
            (Some(Cmd::Serve { config }), _) | (None, Some(config)) => {
                serve(&config, self.operator.as_deref(), self.cells.as_deref())
            }
            (Some(Cmd::Cells { server, declare_lost, typed_name }), _) => {
                cells(server, declare_lost.as_deref(), typed_name.as_deref())
            }
            (Some(Cmd::Rehearse { name, seed }), _) => rehearse(name.as_deref(), seed),
            (Some(Cmd::Check { config }), _) => {
                check(&config, self.operator.as_deref(), self.cells.as_deref())
            }
            (Some(Cmd::Submit { server, file }), _) => match job_body(&file) {
                Ok(body) => call(server, "POST", "/api/jobs", &body),
                Err(e) => usage_error(e),
            },
            (Some(Cmd::Status { server, job }), _) => {
                call(server, "GET", &format!("/api/jobs/{job}"), &[])
            }
            (Some(Cmd::Cancel { server, job }), _) => {
                call(server, "POST", &format!("/api/jobs/{job}/abort"), &[])
            }
            (Some(Cmd::Members { server }), _) => members(server),
            (None, None) => usage_error("give --config FILE to serve, or a command (see --help)"),
        }
    }
}

/// Checks settings and prints a summary.
fn check(config: &Path, operator: Option<&Path>, cells: Option<&Path>) -> ExitCode {
    let settings = match load(config, operator, cells) {
        Ok(settings) => settings,
        Err(error) => return usage_error(error),
    };
    println!(
        "{}: ok, controller {} of {}, {} teams",
        config.display(),
        settings.facts.node,
        settings.others.len() + 1,
        settings.facts.teams.len()
    );
    ExitCode::SUCCESS
}

fn usage_error(line: impl Display) -> ExitCode {
    eprintln!("marblebarrow: {line}");
    ExitCode::from(EXIT_USAGE_ERROR)
}

/// Shows a cell's view of the other cells, or declares one lost.
fn cells(server: SocketAddr, lost: Option<&str>, typed_name: Option<&str>) -> ExitCode {
    let Some(lost) = lost else {
        return match cells_cli::overview(server) {
            Ok(lines) => {
                lines.iter().for_each(|line| println!("{line}"));
                ExitCode::SUCCESS
            }
            Err(why) => failure(why),
        };
    };
    if typed_name != Some(lost) {
        let risks = cells_cli::LOSS_RISKS;
        return usage_error(format!("{risks}. To go on, add --typed-name {lost}"));
    }
    match cells_cli::declare_lost(server, lost, lost) {
        Ok(()) => {
            println!("cell={lost} declared lost");
            ExitCode::SUCCESS
        }
        Err(why) => failure(why),
    }
}

/// Runs a rehearsal, or lists all rehearsals.
fn rehearse(name: Option<&str>, seed: u64) -> ExitCode {
    let names: Vec<&str> = Scenario::ALL.iter().map(|scenario| scenario.name()).collect();
    let Some(name) = name else {
        println!("{}", names.join("\n"));
        return ExitCode::SUCCESS;
    };
    let Some(scenario) = Scenario::named(name) else {
        return usage_error(format!("no rehearsal `{name}`; there are {}", names.join(", ")));
    };
    let verdict = scenario.run(seed);
    print!("{verdict}");
    if verdict.passed() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn failure(why: impl Display) -> ExitCode {
    eprintln!("marblebarrow: {why}");
    ExitCode::FAILURE
}

/// An error in one of the settings files.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Operator(#[from] OperatorFileError),
    #[error(transparent)]
    Cells(#[from] CellsSettingsError),
}

fn load(
    config: &Path,
    operator: Option<&Path>,
    cells: Option<&Path>,
) -> Result<Settings, LoadError> {
    let mut settings = Settings::load(config)?;
    if let Some(path) = operator {
        settings.facts.tuning = crate::operator::load(path)?;
    }
    if let Some(path) = cells {
        let cells = CellsSettings::load(path)?;
        settings.facts.cells = Some(Arc::new(cells));
    }
    Ok(settings)
}

fn serve(config: &Path, operator: Option<&Path>, cells: Option<&Path>) -> ExitCode {
    let settings = match load(config, operator, cells) {
        Ok(s) => s,
        Err(e) => return usage_error(e),
    };
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|l| l.parse().ok())
        .unwrap_or(tracing::Level::ERROR);
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
    match crate::controller::serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => usage_error(format!("can't serve: {e}")),
    }
}

/// The answer to `GET /api/members`.
#[derive(serde::Deserialize)]
struct MembershipView {
    controllers: Vec<Member>,
    /// Absent from answers of versions that don't record it; read as 0.
    #[serde(default)]
    format_in_store: u32,
    dependencies_allowed: bool,
}

/// A controller in a [`MembershipView`].
#[derive(serde::Deserialize)]
struct Member {
    node: String,
    version: String,
    format: u32,
    seen_for_s: f64,
    current: bool,
}

fn members(server: SocketAddr) -> ExitCode {
    let answer = Client::new(server).call("GET", "/api/members", &[], CALL_TIMEOUT);
    let Ok(response) = answer else {
        return failure(format!("no answer from {server}"));
    };
    if response.status != 200 {
        return failure(format!("{server} answered {}", response.status));
    }
    let Ok(view) = marblebarrow_proto::cbor::decode::<MembershipView>(&response.body) else {
        return failure(format!("{server} answered what is no list of controllers"));
    };
    for m in view.controllers {
        let version = if m.version.is_empty() { "-" } else { &m.version };
        let heard = if m.current { "heard" } else { "silent" };
        let (format, seen) = (m.format, m.seen_for_s);
        println!("{} version={version} format={format} seen_for_s={seen:.1} {heard}", m.node);
    }
    println!("format_in_store={}", view.format_in_store);
    println!("dependencies_allowed={}", view.dependencies_allowed);
    ExitCode::SUCCESS
}

//! The command line.

use crate::http::Client;
use crate::settings::Settings;
use ciborium::Value;
use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Exit code for settings or arguments that can't be used.
const BAD_USE: u8 = 2;
/// How long a user's command waits for an answer (protocol page: 5 s).
const PATIENCE: Duration = Duration::from_secs(5);

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
    /// Check a settings file and say what it means
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
    /// Ask how a job stands
    Status {
        /// A controller or the load balancer
        #[arg(long, value_name = "IP:PORT")]
        server: SocketAddr,
        /// The job's id
        job: String,
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
    /// Does what was asked.
    pub fn run(self) -> ExitCode {
        match (self.command, self.config) {
            (Some(Cmd::Serve { config }), _) | (None, Some(config)) => {
                serve(&config, self.operator.as_deref())
            }
            (Some(Cmd::Check { config }), _) => match load(&config, self.operator.as_deref()) {
                Ok(s) => {
                    println!(
                        "{}: ok, controller {} of {}, {} teams",
                        config.display(),
                        s.facts.node,
                        s.others.len() + 1,
                        s.facts.teams.len()
                    );
                    ExitCode::SUCCESS
                }
                Err(e) => bad(&e),
            },
            (Some(Cmd::Submit { server, file }), _) => match job_body(&file) {
                Ok(body) => call(server, "POST", "/api/jobs", &body),
                Err(e) => bad(&e),
            },
            (Some(Cmd::Status { server, job }), _) => {
                call(server, "GET", &format!("/api/jobs/{job}"), &[])
            }
            (Some(Cmd::Cancel { server, job }), _) => {
                call(server, "POST", &format!("/api/jobs/{job}/abort"), &[])
            }
            (None, None) => bad("give --config FILE to serve, or a command (see --help)"),
        }
    }
}

fn bad(line: &str) -> ExitCode {
    eprintln!("marblebarrow: {line}");
    ExitCode::from(BAD_USE)
}

fn load(config: &Path, operator: Option<&Path>) -> Result<Settings, String> {
    let mut settings = Settings::load(config).map_err(|e| e.to_string())?;
    if let Some(path) = operator {
        settings.facts.tuning = crate::operator::load(path)?;
    }
    Ok(settings)
}

fn serve(config: &Path, operator: Option<&Path>) -> ExitCode {
    let settings = match load(config, operator) {
        Ok(s) => s,
        Err(e) => return bad(&e),
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
    match crate::serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => bad(&format!("can't serve: {e}")),
    }
}

fn job_body(file: &Path) -> Result<Vec<u8>, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let table: toml::Table =
        toml::from_str(&text).map_err(|e| format!("{}: {}", file.display(), e.message()))?;
    let body = marblebarrow_proto::cbor::encode(&table);
    marblebarrow_proto::job::JobSpec::parse(&body)
        .map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(body)
}

fn call(server: SocketAddr, method: &str, path: &str, body: &[u8]) -> ExitCode {
    let Ok((status, body)) = Client::new(server).call(method, path, body, PATIENCE) else {
        eprintln!("marblebarrow: no answer from {server}");
        return ExitCode::FAILURE;
    };
    let text = match marblebarrow_proto::cbor::decode::<Value>(&body) {
        Ok(Value::Map(fields)) => fields
            .iter()
            .map(|(k, v)| format!("{}={}", show(k), show(v)))
            .collect::<Vec<_>>()
            .join(" "),
        _ => String::new(),
    };
    println!("status={status} {text}");
    if status < 300 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn show(v: &Value) -> String {
    match v {
        Value::Text(t) => t.clone(),
        Value::Integer(i) => i128::from(*i).to_string(),
        Value::Float(f) => f.to_string(),
        Value::Bool(b) => b.to_string(),
        _ => "-".into(),
    }
}

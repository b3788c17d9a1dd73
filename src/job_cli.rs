//! Users' commands on jobs: reads the job file, makes the call and prints the answer as a line of
//! text.

use crate::http::Client;
use ciborium::Value;
use marblebarrow_proto::cbor;
use marblebarrow_proto::job::JobSpec;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// How long a user's command waits for an answer (5 s, given by the protocol).
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a job file can't be submitted.
#[derive(Debug, thiserror::Error)]
pub enum JobFileError {
    /// The file can't be read.
    #[error("{}: {error}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The file isn't valid TOML.
    #[error("{}: {}", file.display(), error.message())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// Why.
        error: toml::de::Error,
    },
    /// The file doesn't describe a valid job.
    #[error("{}: {reason}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The reason, with the name of the field.
        reason: String,
    },
}

/// Reads a job file and returns the body of a submission: the TOML table as CBOR, field for
/// field, so that `waits_on = ["req-000398"]` is sent as the list of DAG dependencies.
pub fn job_body(path: &Path) -> Result<Vec<u8>, JobFileError> {
    let file = || path.to_owned();
    let text = std::fs::read_to_string(path)
        .map_err(|error| JobFileError::Unreadable { file: file(), error })?;
    let table: toml::Table =
        toml::from_str(&text).map_err(|error| JobFileError::Syntax { file: file(), error })?;
    let body = cbor::encode(&table);
    JobSpec::parse(&body)
        .map_err(|error| JobFileError::Invalid { file: file(), reason: error.to_string() })?;
    Ok(body)
}

/// Makes a request to a controller and prints the status and fields of the answer.
pub fn call(server: SocketAddr, method: &str, path: &str, body: &[u8]) -> ExitCode {
    let Ok(response) = Client::new(server).call(method, path, body, CALL_TIMEOUT) else {
        eprintln!("marblebarrow: no answer from {server}");
        return ExitCode::FAILURE;
    };
    println!("status={} {}", response.status, fields(&response.body));
    if response.status < 300 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The fields of a CBOR map as `key=value` texts; empty if it isn't a map.
fn fields(body: &[u8]) -> String {
    let Ok(Value::Map(fields)) = cbor::decode::<Value>(body) else { return String::new() };
    let texts =
        fields.iter().map(|(key, value)| format!("{}={}", format_value(key), format_value(value)));
    texts.collect::<Vec<_>>().join(" ")
}

/// Formats one value of an answer. A list, such as the DAG dependencies that a job still waits on
/// (`waits_on`), becomes its items joined by commas.
fn format_value(value: &Value) -> String {
    match value {
        Value::Text(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_value).collect::<Vec<_>>().join(","),
        Value::Integer(integer) => i128::from(*integer).to_string(),
        Value::Float(float) => float.to_string(),
        Value::Bool(flag) => flag.to_string(),
        _ => "-".into(),
    }
}

//! The spec record of a submission with the maximum number of dependencies must fit the smallest
//! value limit of the state service that settings allow.

use ciborium::cbor;
use marblebarrow_proto::cbor::{decode, encode, json_len, to_value};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::records::SpecRecord;

/// The smallest value limit, bytes. Records may use four fifths of it.
const SMALLEST_VALUE_LIMIT: usize = 2 * 1024;
/// Maximum number of dependencies of a submission.
const MAX_DEPENDENCY_COUNT: usize = 64;

fn submission(dependencies: usize) -> ciborium::Value {
    let named: Vec<String> = (0..dependencies).map(|n| format!("req-{n:06}")).collect();
    cbor!({
        "ref" => "req-999999", "lot" => "manutencao-preditiva", "crew" => "universidade-minho",
        "shape" => "sweep", "rank" => "production", "pieces" => 100_000, "vcpus" => 16.0,
        "cards" => 0.0, "mem_gb" => 64.0, "mould" => "simulacoes-noturnas-07", "size_gb" => 6.25,
        "builds" => ["compacta", "robusta"], "quarter" => "lisboa", "together" => true,
        "spread" => false, "loaners" => true, "guess_s" => 1234.5, "mark_s" => 30.5,
        "stow_s" => 4.5, "due_s" => 9000.5, "waits_on" => named
    })
    .expect("a submission")
}

#[test]
fn a_submission_with_the_most_dependencies_fits_the_smallest_value_limit() {
    let spec: JobSpec = decode(&encode(&submission(MAX_DEPENDENCY_COUNT))).expect("accepted");
    assert_eq!(spec.dependencies.len(), MAX_DEPENDENCY_COUNT);
    let record = SpecRecord::submitted(spec, 1_764_700_000_000);
    let bytes = json_len(&to_value(&record));
    assert!(bytes < SMALLEST_VALUE_LIMIT * 4 / 5, "{bytes} bytes");
}

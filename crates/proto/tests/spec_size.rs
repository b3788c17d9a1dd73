//! The record of a submission that names as many jobs as one may fits the smallest value limit
//! of the state service that settings may name.

use ciborium::cbor;
use marblebarrow_proto::cbor::{decode, encode, json_len, to_value};
use marblebarrow_proto::job::JobSpec;
use marblebarrow_proto::records::SpecRecord;

/// Bytes of a value, of which records fill four fifths at most.
const SMALLEST_VALUE: usize = 2 * 1024;
/// Jobs that a submission may name.
const DEPENDENCIES_MOST: usize = 64;

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
fn a_submission_with_as_many_dependencies_as_it_may_name_fits_the_smallest_value() {
    let spec: JobSpec = decode(&encode(&submission(DEPENDENCIES_MOST))).expect("accepted");
    assert_eq!(spec.dependencies.len(), DEPENDENCIES_MOST);
    let record = SpecRecord::submitted(spec, 1_764_700_000_000);
    let bytes = json_len(&to_value(&record));
    assert!(bytes < SMALLEST_VALUE * 4 / 5, "{bytes} bytes");
}

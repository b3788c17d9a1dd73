//! The operators' configuration file: which files are accepted, and that errors name the invalid
//! field.

use marblebarrow_cells::settings::CellsSettings;

const VALID: &str = r#"
name = "porto"
listen = "10.0.0.1:8082"
cell {
  name = "tena"
  controllers = ["10.8.0.1:8082", "10.8.0.2:8082"]
}
"#;

fn reason(text: &str) -> String {
    let error = CellsSettings::parse(text).expect_err("invalid");
    format!("{}: {}", error.field, error.reason)
}

#[test]
fn accepts_one_or_several_cells_and_applies_defaults() {
    let one = CellsSettings::parse(VALID).expect("valid");
    assert_eq!((one.others.len(), one.others[0].controllers.len()), (1, 2));
    assert_eq!((one.patience_s, one.transfers_max, one.message_bytes), (30.0, 64, 65_536));
    let two = format!("{VALID}cell {{\n name = \"lima\"\n controllers = [\"10.9.0.1:1\"]\n}}\n");
    assert_eq!(CellsSettings::parse(&two).expect("valid").others.len(), 2);
}

#[test]
fn the_file_in_deploy_is_valid() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/cells.hcl");
    let settings = CellsSettings::load(path.as_ref()).expect("valid");
    assert!(settings.policy.is_some());
}

#[test]
fn errors_name_the_invalid_field() {
    for (bad, field) in [
        (VALID.replace("\"tena\"", "\"porto\""), "cell.name: `porto` is this cell"),
        (VALID.replace("\"tena\"", "\"\""), "cell.name: `` is not"),
        (VALID.replace("\"porto\"", "\"por to\""), "name: `por to` is not"),
        (VALID.replace("[\"10.8.0.1:8082\", \"10.8.0.2:8082\"]", "[]"), "cell.controllers: "),
        (VALID.replace("10.8.0.1:8082", "10.8.0.1"), "cell.controllers: `10.8.0.1` is not"),
        (VALID.replace("10.0.0.1:8082", ""), "listen: `` is not"),
        (format!("{VALID}patience_s = 0\n"), "patience_s: 0 is not in"),
        (format!("{VALID}report_age_s = 1e9\n"), "report_age_s: "),
        (format!("{VALID}transfers_max = 0\n"), "transfers_max: "),
        (format!("{VALID}message_kb = 1\n"), "message_kb: "),
        (format!("{VALID}patience = 3\n"), "(syntax): "),
        (format!("{VALID}policy = \"fn choose(job) {{ 1 }}\"\n"), "policy: "),
        (format!("{VALID}policy = \"fn\"\n"), "policy: "),
        ("name = \"porto\"\n".to_owned(), "(syntax): "),
    ] {
        let reason = reason(&bad);
        assert!(reason.starts_with(field), "{field} expected, {reason}");
        assert!(!reason.contains('\n'), "{reason}");
    }
    let twice = format!("{VALID}cell {{\n name = \"tena\"\n controllers = [\"10.9.0.1:1\"]\n}}\n");
    assert_eq!(reason(&twice), "cell.name: `tena` is listed twice");
}

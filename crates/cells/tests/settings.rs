//! The operators' file: what is taken, and what stops the start with a line that helps.

use marblebarrow_cells::settings::CellsSettings;

const GOOD: &str = r#"
name = "porto"
listen = "10.0.0.1:8082"
cell {
  name = "tena"
  controllers = ["10.8.0.1:8082", "10.8.0.2:8082"]
}
"#;

fn reason(text: &str) -> String {
    let error = CellsSettings::parse(text).expect_err("refused");
    format!("{}: {}", error.field, error.reason)
}

#[test]
fn takes_one_cell_or_several_and_keeps_the_rest() {
    let one = CellsSettings::parse(GOOD).expect("good");
    assert_eq!((one.others.len(), one.others[0].controllers.len()), (1, 2));
    assert_eq!((one.patience_s, one.transfers_max, one.message_bytes), (30.0, 64, 65_536));
    let two = format!("{GOOD}cell {{\n name = \"lima\"\n controllers = [\"10.9.0.1:1\"]\n}}\n");
    assert_eq!(CellsSettings::parse(&two).expect("good").others.len(), 2);
}

#[test]
fn the_file_under_deploy_is_good() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/cells.hcl");
    let settings = CellsSettings::load(path.as_ref()).expect("good");
    assert!(settings.policy.is_some());
}

#[test]
fn names_the_field_of_what_is_wrong() {
    for (bad, field) in [
        (GOOD.replace("\"tena\"", "\"porto\""), "cell.name: `porto` is this cell"),
        (GOOD.replace("\"tena\"", "\"\""), "cell.name: `` is not"),
        (GOOD.replace("\"porto\"", "\"por to\""), "name: `por to` is not"),
        (GOOD.replace("[\"10.8.0.1:8082\", \"10.8.0.2:8082\"]", "[]"), "cell.controllers: "),
        (GOOD.replace("10.8.0.1:8082", "10.8.0.1"), "cell.controllers: `10.8.0.1` is not"),
        (GOOD.replace("10.0.0.1:8082", ""), "listen: `` is not"),
        (format!("{GOOD}patience_s = 0\n"), "patience_s: 0 is not in"),
        (format!("{GOOD}report_age_s = 1e9\n"), "report_age_s: "),
        (format!("{GOOD}transfers_max = 0\n"), "transfers_max: "),
        (format!("{GOOD}message_kb = 1\n"), "message_kb: "),
        (format!("{GOOD}patience = 3\n"), "(syntax): "),
        (format!("{GOOD}policy = \"fn choose(job) {{ 1 }}\"\n"), "policy: "),
        (format!("{GOOD}policy = \"fn\"\n"), "policy: "),
        ("name = \"porto\"\n".to_owned(), "(syntax): "),
    ] {
        let reason = reason(&bad);
        assert!(reason.starts_with(field), "{field} expected, {reason}");
        assert!(!reason.contains('\n'), "{reason}");
    }
    let twice = format!("{GOOD}cell {{\n name = \"tena\"\n controllers = [\"10.9.0.1:1\"]\n}}\n");
    assert_eq!(reason(&twice), "cell.name: `tena` is listed twice");
}

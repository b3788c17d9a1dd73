//! Runs a case of the review: `review-kit CASE RECORD DIRECTORY`, from the repository's root.
//! Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.

mod case_guarantee;
mod case_limits;
mod case_orphaned;
mod case_reserved;
mod case_stopped;
mod cbor;
mod cluster;
mod http;
mod platform;
mod record;
mod store;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// What a case gets.
pub struct Context<'a> {
    pub record: Record,
    pub dir: &'a Path,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, dir] = &args[..] else { return ExitCode::from(2) };
    let Ok(record) = Record::create(Path::new(record)) else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, TROUBLE={}", u8::from(trouble)));
    let context = Context { record: record.clone(), dir: Path::new(dir), trouble };
    let verdict = match case.as_str() {
        "guarantee" => case_guarantee::run(&context),
        "limits" => case_limits::run(&context),
        "orphaned" => case_orphaned::run(&context),
        "reserved" => case_reserved::run(&context),
        "stopped" => case_stopped::run(&context),
        _ => Verdict::NotRun("no such case".to_owned()),
    };
    let (code, line) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "THE RULE WAS BROKEN".to_owned()),
        Verdict::NotRun(why) => (2, format!("the case couldn't run: {why}")),
    };
    record.line(&line);
    println!("{case}: {line}");
    ExitCode::from(code)
}

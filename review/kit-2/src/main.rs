//! Stand-ins for the cases of the review, and the cases themselves.

mod cases;
mod cbor;
mod ctl;
mod fleet;
mod http;
mod site;
mod state;
mod users;
mod util;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let name = args.get(1).map_or("", String::as_str);
    let record = args.get(2).map_or("record.txt", String::as_str);
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    util::open_record(record);
    let code = match name {
        "split-block" => cases::split_block(trouble),
        "reserved-limit" => cases::reserved_limit(trouble),
        "restarted-machine" => cases::restarted_machine(trouble),
        _ => {
            eprintln!("no case {name}");
            2
        }
    };
    std::process::exit(code);
}

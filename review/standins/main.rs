//! Stand-ins and cases of the review. Usage: `standins CASE RECORD`, from the root of the project.

mod client;
mod http;
mod json;
mod memory;
mod record;
mod replicas;
mod rng;
mod stage_surplus;
mod stream_cut;
mod system;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = record::Record::new(Path::new(path)) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    let root = std::env::current_dir().unwrap_or_else(|_| PathBuf::from("."));
    let outcome = match case.as_str() {
        "memory" => memory::run(&root, &record, trouble),
        "stage-surplus" => stage_surplus::run(&root, &record, trouble),
        "stream-cut" => stream_cut::run(&root, &record, trouble),
        _ => Err(format!("no case {case}")),
    };
    match outcome {
        Ok(false) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(cause) => {
            record.line(&format!("the case could not run: {cause}"));
            eprintln!("{cause}");
            ExitCode::from(2)
        }
    }
}

//! The cases of the second review that are scripts, with their stand-ins for clients, replicas, the
//! operator and the platform. Usage: `stand-ins CASE FOLDER`; `TROUBLE=0` leaves out the disruption.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod fleet;
mod http;
mod left_replica;
mod many_connections;
mod planned_stop;
mod record;
mod replica;
mod slow_readers;
mod stale_machine;
mod system;

use std::path::PathBuf;
use std::process::exit;

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let Some(record) = Record::new(&folder) else {
        eprintln!("cannot write record.txt in {}", folder.display());
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    record.line(&format!("case={case} trouble={trouble}"));
    let verdict = match case.as_str() {
        "slow-readers" => slow_readers::run(&record, trouble),
        "stale-machine" => stale_machine::run(&record, trouble),
        "many-connections" => many_connections::run(&record, trouble),
        "planned-stop" => planned_stop::run(&record, trouble),
        "left-replica" => left_replica::run(&record, trouble),
        _ => Verdict::NotRun,
    };
    let (text, status) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    exit(status);
}

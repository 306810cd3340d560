//! Commands on collected logs.

use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};

use linnet_logbook::{LogLine, LossTable, explain_request, read_lines};

use crate::settings::{ExplainArgs, LossesArgs};
use crate::{CtlError, CtlStep};

/// Prints the outcomes of the requests in the given logs.
pub(crate) fn show_losses(args: &LossesArgs) -> Result<(), CtlError> {
    let lines = read_logs(&args.logs)?;
    let table = LossTable::new(&lines, args.by);
    if args.json {
        let json = serde_json::to_string_pretty(&table);
        println!("{}", json.unwrap_or_default());
    } else {
        print!("{}", table.to_text());
    }
    Ok(())
}

/// Prints the history of one request from the given logs.
pub(crate) fn explain(args: &ExplainArgs) -> Result<(), CtlError> {
    let lines = read_logs(&args.logs)?;
    let history = explain_request(&lines, &args.request).ok_or_else(|| {
        let cause = format!("none of {} lines concerns this request", lines.len());
        CtlError::failed(CtlStep::Read, args.request.clone(), cause)
    })?;
    history.lines.iter().for_each(print_line);
    if !history.target_lines.is_empty() {
        println!("events of its targets:");
        history.target_lines.iter().for_each(print_line);
    }
    if !history.held_lines.is_empty() {
        println!("quarantine events of the same request:");
        history.held_lines.iter().for_each(print_line);
    }
    if !history.part_lines.is_empty() {
        println!("events of the held part of its prompt, and crashes under requests with it:");
        history.part_lines.iter().for_each(print_line);
    }
    if !history.config_lines.is_empty() {
        println!("events of configurations at its host, and newer ones that were accepted:");
        history.config_lines.iter().for_each(print_line);
    }
    if !history.takeup_lines.is_empty() {
        println!("the same stream under other ids:");
        history.takeup_lines.iter().for_each(print_line);
    }
    println!("{}", history.summary);
    Ok(())
}

fn print_line(line: &LogLine) {
    let peer = line.peer.as_deref().unwrap_or("-");
    println!(
        "{} {} peer={peer} {}: {}",
        line.time,
        line.host,
        line.code.name(),
        line.detail
    );
}

/// Reads logs from files and directories, or from standard input if none is given.
fn read_logs(paths: &[PathBuf]) -> Result<Vec<LogLine>, CtlError> {
    if paths.is_empty() {
        return read_lines(io::stdin().lock()).map_err(|error| read_error(Path::new("-"), &error));
    }
    let mut lines = Vec::new();
    for path in paths {
        for file in files_of(path).map_err(|error| read_error(path, &error))? {
            let opened = File::open(&file).map_err(|error| read_error(&file, &error))?;
            let read = read_lines(BufReader::new(opened));
            lines.extend(read.map_err(|error| read_error(&file, &error))?);
        }
    }
    Ok(lines)
}

/// Returns the path itself if it is a file, otherwise the files directly in the directory.
fn files_of(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in path.read_dir()? {
        let entry_path = entry?.path();
        if entry_path.is_file() {
            files.push(entry_path);
        }
    }
    files.sort();
    Ok(files)
}

fn read_error(path: &Path, error: &io::Error) -> CtlError {
    CtlError::failed(CtlStep::Read, path.display().to_string(), error.to_string())
}

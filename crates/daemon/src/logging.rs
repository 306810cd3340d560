//! The log: one line an event, with key-values, on standard error.

use std::io::Write;

use log::kv::{Error, Key, Value, VisitSource};

/// Starts the log; the level comes from `RUST_LOG` and is `info` where that is not set.
pub fn start_logging() {
    let settings = env_logger::Env::default().default_filter_or("linnetdale=info,warn");
    let started = env_logger::Builder::from_env(settings)
        .format(|out, record| {
            write!(out, "{} {}", out.timestamp_millis(), record.level())?;
            let mut pairs = PairWriter { out };
            let _ = record.key_values().visit(&mut pairs);
            writeln!(pairs.out, " {}", record.args())
        })
        .try_init();
    if let Err(error) = started {
        eprintln!("the log is set up already: {error}");
    }
}

struct PairWriter<'a> {
    out: &'a mut env_logger::fmt::Formatter,
}

impl<'kvs> VisitSource<'kvs> for PairWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        if !text.is_empty() {
            write!(self.out, " {key}={text}")?;
        }
        Ok(())
    }
}

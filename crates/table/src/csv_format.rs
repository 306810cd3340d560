//! The spreadsheet form of the table: one CSV file, one header, a kind in the first column.

use crate::{
    AccountRow, FaultCause, KeyDigest, LimitRow, PipelineRow, RowFault, RowKey, RowLimits,
    ServiceRow, StageRow, TableRow,
};

/// The columns, in order.
pub const COLUMNS: [&str; 14] = [
    "kind",
    "account",
    "pipeline",
    "stage",
    "position",
    "pool",
    "weight",
    "rate",
    "in_flight",
    "tokens",
    "deadline_ms",
    "repeatable",
    "streams",
    "key_digest",
];

/// The greatest weight.
const MAX_WEIGHT: u32 = 10_000;
/// The greatest limit of any kind.
const MAX_LIMIT: u32 = 100_000_000;
/// The greatest deadline: one day, in milliseconds.
const MAX_DEADLINE_MS: u32 = 86_400_000;
/// The greatest position of a stage.
const MAX_POSITION: u32 = 1_000;
/// The longest name, in characters.
const MAX_NAME_LENGTH: usize = 64;
/// The most keys that an account may have at one time.
const MAX_KEYS: usize = 4;

/// What a CSV file holds. Where `faults` is not empty the rows serve only to find more faults.
#[derive(Debug, Clone, Default)]
pub struct ParsedTable {
    /// The rows whose keys could be read.
    pub rows: Vec<TableRow>,
    /// The line of each row, from 1.
    pub lines: Vec<u64>,
    /// Every fault of a cell.
    pub faults: Vec<RowFault>,
}

impl ParsedTable {
    /// Returns the line of a row, for faults that are found later.
    pub fn line_of(&self, key: &RowKey) -> Option<u64> {
        let index = self.rows.iter().rposition(|row| row.key() == *key)?;
        self.lines.get(index).copied()
    }
}

/// One line while it is read: its cells, and the faults found in them.
struct LineReader<'a> {
    line: u64,
    cells: &'a csv::StringRecord,
    used: Vec<usize>,
    faults: Vec<RowFault>,
}

/// Reads a CSV file; all faults of all cells are collected, none hides another.
pub fn parse_csv(text: &str) -> ParsedTable {
    let mut parsed = ParsedTable::default();
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .flexible(true)
        .from_reader(text.as_bytes());
    if let Some(fault) = check_header(&mut reader) {
        parsed.faults.push(fault);
        return parsed;
    }
    for record in reader.records() {
        match record {
            Ok(cells) => read_line(&cells, &mut parsed),
            Err(error) => {
                let line = error.position().map(csv::Position::line);
                parsed.faults.push(file_fault(line, error.to_string()));
            }
        }
    }
    parsed
}

fn check_header(reader: &mut csv::Reader<&[u8]>) -> Option<RowFault> {
    match reader.headers() {
        Ok(header) if header.iter().eq(COLUMNS) => None,
        Ok(header) => {
            let given: Vec<_> = header.iter().collect();
            let text = format!("the header is {given:?}; want {}", COLUMNS.join(","));
            Some(file_fault(Some(1), text))
        }
        Err(error) => Some(file_fault(Some(1), error.to_string())),
    }
}

fn file_fault(line: Option<u64>, text: String) -> RowFault {
    RowFault {
        line,
        key: None,
        column: "kind".to_owned(),
        cause: FaultCause::NotCsv(text),
    }
}

fn read_line(cells: &csv::StringRecord, parsed: &mut ParsedTable) {
    let line = cells.position().map_or(0, csv::Position::line);
    if cells.len() != COLUMNS.len() {
        let text = format!("{} cells; want {}", cells.len(), COLUMNS.len());
        parsed.faults.push(file_fault(Some(line), text));
        return;
    }
    let mut reader = LineReader {
        line,
        cells,
        used: vec![0],
        faults: Vec::new(),
    };
    let row = reader.read_row();
    reader.check_unused();
    parsed.faults.append(&mut reader.faults);
    if let Some(row) = row {
        parsed.rows.push(row);
        parsed.lines.push(line);
    }
}

impl<'a> LineReader<'a> {
    fn read_row(&mut self) -> Option<TableRow> {
        match self.cells.get(0).unwrap_or_default() {
            "pipeline" => self.read_pipeline(),
            "stage" => self.read_stage(),
            "service" => self.read_service(),
            "account" => self.read_account(),
            "limit" => self.read_limit(),
            other => {
                let cause = FaultCause::UnknownKind(other.to_owned());
                self.fault("kind", cause);
                self.used = (0..COLUMNS.len()).collect();
                None
            }
        }
    }

    fn read_pipeline(&mut self) -> Option<TableRow> {
        let pipeline = self.name("pipeline");
        let deadline_ms = self.number("deadline_ms", 1, MAX_DEADLINE_MS);
        let repeatable = self.flag("repeatable");
        Some(TableRow::Pipeline(PipelineRow {
            pipeline: pipeline?,
            deadline_ms,
            repeatable,
        }))
    }

    fn read_stage(&mut self) -> Option<TableRow> {
        let pipeline = self.name("pipeline");
        let stage = self.name("stage");
        let position = self.number("position", 1, MAX_POSITION);
        let pool = self.name("pool");
        let streams = self.flag("streams");
        Some(TableRow::Stage(StageRow {
            pipeline: pipeline?,
            stage: stage?,
            position,
            pool: pool.unwrap_or_default(),
            streams,
        }))
    }

    fn read_service(&mut self) -> Option<TableRow> {
        let service = self.name("pipeline");
        let pool = self.name("pool");
        let deadline_ms = self.number("deadline_ms", 1, MAX_DEADLINE_MS);
        let repeatable = self.flag("repeatable");
        Some(TableRow::Service(ServiceRow {
            service: service?,
            pool: pool.unwrap_or_default(),
            deadline_ms,
            repeatable,
        }))
    }

    fn read_account(&mut self) -> Option<TableRow> {
        let account = self.name("account");
        let weight = self.number("weight", 1, MAX_WEIGHT);
        let limits = self.limits();
        let key_digests = self.digests();
        Some(TableRow::Account(AccountRow {
            account: account?,
            weight,
            limits,
            key_digests,
        }))
    }

    fn read_limit(&mut self) -> Option<TableRow> {
        let account = self.name("account");
        let pipeline = self.name("pipeline");
        let weight = self.optional_number("weight", 1, MAX_WEIGHT);
        let limits = self.limits();
        Some(TableRow::Limit(LimitRow {
            account: account?,
            pipeline: pipeline?,
            weight,
            limits,
        }))
    }

    fn limits(&mut self) -> RowLimits {
        RowLimits {
            rate: self.optional_number("rate", 0, MAX_LIMIT),
            in_flight: self.optional_number("in_flight", 0, MAX_LIMIT),
            tokens: self.optional_number("tokens", 0, MAX_LIMIT),
        }
    }

    fn digests(&mut self) -> Vec<KeyDigest> {
        let cell = self.cell("key_digest");
        if cell.is_empty() {
            self.fault("key_digest", FaultCause::EmptyCell);
        }
        let mut digests = Vec::new();
        for text in cell.split_whitespace() {
            match KeyDigest::from_hex(text) {
                Some(digest) if digests.len() < MAX_KEYS => digests.push(digest),
                _ => self.fault("key_digest", FaultCause::BadDigest(text.to_owned())),
            }
        }
        digests
    }

    fn name(&mut self, column: &str) -> Option<String> {
        let cell = self.cell(column);
        if cell.is_empty() {
            self.fault(column, FaultCause::EmptyCell);
            return None;
        }
        if !is_name(cell) {
            self.fault(column, FaultCause::BadName(cell.to_owned()));
            return None;
        }
        Some(cell.to_owned())
    }

    fn number(&mut self, column: &str, low: u32, high: u32) -> u32 {
        if self.cell(column).is_empty() {
            self.fault(column, FaultCause::EmptyCell);
            return low;
        }
        self.optional_number(column, low, high).unwrap_or(low)
    }

    fn optional_number(&mut self, column: &str, low: u32, high: u32) -> Option<u32> {
        let cell = self.cell(column);
        if cell.is_empty() {
            return None;
        }
        match cell.parse() {
            Ok(number) if (low..=high).contains(&number) => Some(number),
            _ => {
                let given = cell.to_owned();
                self.fault(column, FaultCause::BadNumber { given, low, high });
                None
            }
        }
    }

    fn flag(&mut self, column: &str) -> bool {
        match self.cell(column) {
            "yes" => true,
            "no" => false,
            "" => {
                self.fault(column, FaultCause::EmptyCell);
                true
            }
            other => {
                let cause = FaultCause::BadFlag(other.to_owned());
                self.fault(column, cause);
                true
            }
        }
    }

    /// Returns a cell and notes that this kind of row has it.
    fn cell(&mut self, column: &str) -> &'a str {
        let index = COLUMNS.iter().position(|name| *name == column).unwrap_or(0);
        self.used.push(index);
        self.cells.get(index).unwrap_or_default()
    }

    fn check_unused(&mut self) {
        for (index, column) in COLUMNS.iter().enumerate() {
            let cell = self.cells.get(index).unwrap_or_default();
            if !cell.is_empty() && !self.used.contains(&index) {
                self.fault(column, FaultCause::UnexpectedCell(cell.to_owned()));
            }
        }
    }

    fn fault(&mut self, column: &str, cause: FaultCause) {
        self.faults.push(RowFault {
            line: Some(self.line),
            key: None,
            column: column.to_owned(),
            cause,
        });
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    text.len() <= MAX_NAME_LENGTH && text.chars().all(allowed)
}

/// Writes rows as a CSV file that [`parse_csv`] reads back to the same rows.
pub fn write_csv(rows: &[TableRow]) -> String {
    let mut writer = csv::WriterBuilder::new().from_writer(Vec::new());
    // Writing into memory cannot fail, and every record has the columns of the header.
    let _ = writer.write_record(COLUMNS);
    for row in rows {
        let _ = writer.write_record(row_cells(row));
    }
    let bytes = writer.into_inner().unwrap_or_default();
    String::from_utf8(bytes).unwrap_or_default()
}

fn row_cells(row: &TableRow) -> [String; COLUMNS.len()] {
    let mut cells: [String; COLUMNS.len()] = Default::default();
    let mut set = |column: &str, value: String| {
        if let Some(index) = COLUMNS.iter().position(|name| *name == column) {
            cells[index] = value;
        }
    };
    match row {
        TableRow::Pipeline(row) => {
            set("kind", "pipeline".to_owned());
            set("pipeline", row.pipeline.clone());
            set("deadline_ms", row.deadline_ms.to_string());
            set("repeatable", flag_text(row.repeatable));
        }
        TableRow::Stage(row) => {
            set("kind", "stage".to_owned());
            set("pipeline", row.pipeline.clone());
            set("stage", row.stage.clone());
            set("position", row.position.to_string());
            set("pool", row.pool.clone());
            set("streams", flag_text(row.streams));
        }
        TableRow::Service(row) => {
            set("kind", "service".to_owned());
            set("pipeline", row.service.clone());
            set("pool", row.pool.clone());
            set("deadline_ms", row.deadline_ms.to_string());
            set("repeatable", flag_text(row.repeatable));
        }
        TableRow::Account(row) => {
            set("kind", "account".to_owned());
            set("account", row.account.clone());
            set("weight", row.weight.to_string());
            set_limits(&row.limits, &mut set);
            let digests: Vec<_> = row.key_digests.iter().map(KeyDigest::to_string).collect();
            set("key_digest", digests.join(" "));
        }
        TableRow::Limit(row) => {
            set("kind", "limit".to_owned());
            set("account", row.account.clone());
            set("pipeline", row.pipeline.clone());
            set("weight", number_text(row.weight));
            set_limits(&row.limits, &mut set);
        }
    }
    cells
}

fn set_limits(limits: &RowLimits, set: &mut impl FnMut(&str, String)) {
    set("rate", number_text(limits.rate));
    set("in_flight", number_text(limits.in_flight));
    set("tokens", number_text(limits.tokens));
}

fn number_text(number: Option<u32>) -> String {
    number.map(|number| number.to_string()).unwrap_or_default()
}

fn flag_text(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}

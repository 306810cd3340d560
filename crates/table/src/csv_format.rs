//! The CSV format of the table: one header line, and the kind of each row in the first column.

use crate::{
    AccountRow, FaultCause, KeyDigest, LimitRow, PipelineRow, RowFault, RowKey, RowLimits,
    ServiceRow, StageRow, TableRow,
};

/// The columns of the file, in order.
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

/// The maximum weight of an account.
const MAX_WEIGHT: u32 = 10_000;
/// The maximum value of a rate, in-flight or token limit.
const MAX_LIMIT: u32 = 100_000_000;
/// The maximum deadline, in milliseconds: one day.
const MAX_DEADLINE_MS: u32 = 86_400_000;
/// The maximum position of a stage.
const MAX_POSITION: u32 = 1_000;
/// The maximum length of a name, in bytes; the allowed characters are ASCII.
const MAX_NAME_BYTES: usize = 64;
/// The maximum number of keys of an account.
const MAX_KEY_DIGESTS: usize = 4;

/// The parsed contents of a CSV file. If `faults` is not empty, the rows must only be used to
/// find more faults.
#[derive(Debug, Clone, Default)]
pub struct ParsedTable {
    /// The rows whose keys could be parsed.
    pub rows: Vec<TableRow>,
    /// The line of each row, starting at 1.
    pub lines: Vec<u64>,
    /// All faults in the file and its cells.
    pub faults: Vec<RowFault>,
}

impl ParsedTable {
    /// Returns the line of a row, to locate faults that are found after parsing.
    pub fn line_of(&self, key: &RowKey) -> Option<u64> {
        let index = self.rows.iter().rposition(|row| row.key() == *key)?;
        self.lines.get(index).copied()
    }
}

/// Parses one line and collects the faults in its cells.
struct LineParser<'a> {
    line: u64,
    cells: &'a csv::StringRecord,
    read_columns: Vec<usize>,
    faults: Vec<RowFault>,
}

/// Parses a CSV file and collects the faults in all cells.
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
            Ok(cells) => parse_line(&cells, &mut parsed),
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
            let text = format!(
                "unexpected header {given:?}; expected {}",
                COLUMNS.join(",")
            );
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

fn parse_line(cells: &csv::StringRecord, parsed: &mut ParsedTable) {
    let line = cells.position().map_or(0, csv::Position::line);
    if cells.len() != COLUMNS.len() {
        let text = format!("{} cells; want {}", cells.len(), COLUMNS.len());
        parsed.faults.push(file_fault(Some(line), text));
        return;
    }
    let mut parser = LineParser {
        line,
        cells,
        read_columns: vec![0],
        faults: Vec::new(),
    };
    let row = parser.parse_row();
    parser.check_unexpected_cells();
    parsed.faults.append(&mut parser.faults);
    if let Some(row) = row {
        parsed.rows.push(row);
        parsed.lines.push(line);
    }
}

impl<'a> LineParser<'a> {
    fn parse_row(&mut self) -> Option<TableRow> {
        match self.cells.get(0).unwrap_or_default() {
            "pipeline" => self.parse_pipeline(),
            "stage" => self.parse_stage(),
            "service" => self.parse_service(),
            "account" => self.parse_account(),
            "limit" => self.parse_limit(),
            other => {
                let cause = FaultCause::UnknownKind(other.to_owned());
                self.add_fault("kind", cause);
                self.read_columns = (0..COLUMNS.len()).collect();
                None
            }
        }
    }

    fn parse_pipeline(&mut self) -> Option<TableRow> {
        let pipeline = self.parse_name("pipeline");
        let deadline_ms = self.parse_number("deadline_ms", 1, MAX_DEADLINE_MS);
        let repeatable = self.parse_flag("repeatable");
        Some(TableRow::Pipeline(PipelineRow {
            pipeline: pipeline?,
            deadline_ms,
            repeatable,
        }))
    }

    fn parse_stage(&mut self) -> Option<TableRow> {
        let pipeline = self.parse_name("pipeline");
        let stage = self.parse_name("stage");
        let position = self.parse_number("position", 1, MAX_POSITION);
        let pool = self.parse_name("pool");
        let streams = self.parse_flag("streams");
        Some(TableRow::Stage(StageRow {
            pipeline: pipeline?,
            stage: stage?,
            position,
            pool: pool.unwrap_or_default(),
            streams,
        }))
    }

    fn parse_service(&mut self) -> Option<TableRow> {
        let service = self.parse_name("pipeline");
        let pool = self.parse_name("pool");
        let deadline_ms = self.parse_number("deadline_ms", 1, MAX_DEADLINE_MS);
        let repeatable = self.parse_flag("repeatable");
        Some(TableRow::Service(ServiceRow {
            service: service?,
            pool: pool.unwrap_or_default(),
            deadline_ms,
            repeatable,
        }))
    }

    fn parse_account(&mut self) -> Option<TableRow> {
        let account = self.parse_name("account");
        let weight = self.parse_number("weight", 1, MAX_WEIGHT);
        let limits = self.parse_limits();
        let key_digests = self.parse_digests();
        Some(TableRow::Account(AccountRow {
            account: account?,
            weight,
            limits,
            key_digests,
        }))
    }

    fn parse_limit(&mut self) -> Option<TableRow> {
        let account = self.parse_name("account");
        let pipeline = self.parse_name("pipeline");
        let weight = self.parse_optional_number("weight", 1, MAX_WEIGHT);
        let limits = self.parse_limits();
        Some(TableRow::Limit(LimitRow {
            account: account?,
            pipeline: pipeline?,
            weight,
            limits,
        }))
    }

    fn parse_limits(&mut self) -> RowLimits {
        RowLimits {
            rate: self.parse_optional_number("rate", 0, MAX_LIMIT),
            in_flight: self.parse_optional_number("in_flight", 0, MAX_LIMIT),
            tokens: self.parse_optional_number("tokens", 0, MAX_LIMIT),
        }
    }

    fn parse_digests(&mut self) -> Vec<KeyDigest> {
        let cell = self.cell("key_digest");
        if cell.is_empty() {
            self.add_fault("key_digest", FaultCause::EmptyCell);
        }
        let mut digests = Vec::new();
        for text in cell.split_whitespace() {
            match KeyDigest::from_hex(text) {
                Some(digest) if digests.len() < MAX_KEY_DIGESTS => digests.push(digest),
                _ => self.add_fault("key_digest", FaultCause::BadDigest(text.to_owned())),
            }
        }
        digests
    }

    fn parse_name(&mut self, column: &str) -> Option<String> {
        let cell = self.cell(column);
        if cell.is_empty() {
            self.add_fault(column, FaultCause::EmptyCell);
            return None;
        }
        if !is_valid_name(cell) {
            self.add_fault(column, FaultCause::BadName(cell.to_owned()));
            return None;
        }
        Some(cell.to_owned())
    }

    fn parse_number(&mut self, column: &str, low: u32, high: u32) -> u32 {
        if self.cell(column).is_empty() {
            self.add_fault(column, FaultCause::EmptyCell);
            return low;
        }
        self.parse_optional_number(column, low, high).unwrap_or(low)
    }

    fn parse_optional_number(&mut self, column: &str, low: u32, high: u32) -> Option<u32> {
        let cell = self.cell(column);
        if cell.is_empty() {
            return None;
        }
        match cell.parse() {
            Ok(number) if (low..=high).contains(&number) => Some(number),
            _ => {
                let given = cell.to_owned();
                self.add_fault(column, FaultCause::BadNumber { given, low, high });
                None
            }
        }
    }

    fn parse_flag(&mut self, column: &str) -> bool {
        match self.cell(column) {
            "yes" => true,
            "no" => false,
            "" => {
                self.add_fault(column, FaultCause::EmptyCell);
                true
            }
            other => {
                let cause = FaultCause::BadFlag(other.to_owned());
                self.add_fault(column, cause);
                true
            }
        }
    }

    /// Returns a cell and records that this kind of row uses its column.
    fn cell(&mut self, column: &str) -> &'a str {
        let index = COLUMNS.iter().position(|name| *name == column).unwrap_or(0);
        self.read_columns.push(index);
        self.cells.get(index).unwrap_or_default()
    }

    fn check_unexpected_cells(&mut self) {
        for (index, column) in COLUMNS.iter().enumerate() {
            let cell = self.cells.get(index).unwrap_or_default();
            if !cell.is_empty() && !self.read_columns.contains(&index) {
                self.add_fault(column, FaultCause::UnexpectedCell(cell.to_owned()));
            }
        }
    }

    fn add_fault(&mut self, column: &str, cause: FaultCause) {
        self.faults.push(RowFault {
            line: Some(self.line),
            key: None,
            column: column.to_owned(),
            cause,
        });
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}

/// Writes rows as a CSV file that [`parse_csv`] parses back to the same rows.
pub fn write_csv(rows: &[TableRow]) -> String {
    let mut writer = csv::WriterBuilder::new().from_writer(Vec::new());
    // Writing to memory does not fail, and each record has the same number of fields as the header.
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

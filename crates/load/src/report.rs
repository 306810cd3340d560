//! Writes the results as a CSV file and a bar chart.

use std::fmt;
use std::io;
use std::path::Path;

use plotters::prelude::{BLACK, Color, IntoDrawingArea, Rectangle, SVGBackend, WHITE};

use crate::RunScore;

/// The score of one run.
#[derive(Debug, Clone)]
pub(crate) struct ScoreRow {
    pub(crate) scenario: String,
    pub(crate) policy: String,
    pub(crate) seed: u64,
    pub(crate) score: RunScore,
}

impl fmt::Display for ScoreRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let score = &self.score;
        write!(
            f,
            "{:<24} {:<16} attained {:.3} behaving {:.3} refused {:.3} late {:.3} failed {:.3} goodput {:.0}/s cost {:.1}s wasted {:.1}s p99 {:.0}ms {:?}",
            self.scenario,
            self.policy,
            score.attainment,
            score.attainment_without_burst,
            score.refused,
            score.late,
            score.failed,
            score.goodput_per_s,
            score.cost_s,
            score.wasted_s,
            score.p99_ms,
            score.errors
        )
    }
}

/// The columns of `policy.csv`.
const COLUMNS: [&str; 20] = [
    "scenario",
    "policy",
    "seed",
    "sent",
    "attainment",
    "behaving",
    "worst_account",
    "fairness",
    "refused",
    "late",
    "failed",
    "goodput",
    "cost_s",
    "wasted_s",
    "encode_s",
    "retrieve_s",
    "rerank_s",
    "generate_s",
    "p99_ms",
    "refusal_p99_ms",
];

/// Writes `policy.csv` and `policy.svg` to a directory.
pub(crate) fn write_report(directory: &Path, rows: &[ScoreRow]) -> io::Result<()> {
    let mut writer = csv::Writer::from_path(directory.join("policy.csv"))?;
    writer.write_record(COLUMNS)?;
    for row in rows {
        let score = &row.score;
        let stage_cost = |name: &str| score.stage_cost_s.get(name).copied().unwrap_or(0.0);
        let figures = [
            score.attainment,
            score.attainment_without_burst,
            score.worst_account,
            score.fairness,
            score.refused,
            score.late,
            score.failed,
            score.goodput_per_s,
            score.cost_s,
            score.wasted_s,
            stage_cost("encode"),
            stage_cost("retrieve"),
            stage_cost("rerank"),
            stage_cost("generate"),
            score.p99_ms,
            score.refusal_p99_ms,
        ];
        let mut record = vec![
            row.scenario.clone(),
            row.policy.clone(),
            row.seed.to_string(),
            score.sent.to_string(),
        ];
        record.extend(figures.iter().map(|figure| format!("{figure:.4}")));
        writer.write_record(&record)?;
    }
    writer.flush()?;
    draw_bars(&directory.join("policy.svg"), rows)
        .map_err(|error| io::Error::other(error.to_string()))
}

/// Draws one bar per run; its length is the attainment.
fn draw_bars(path: &Path, rows: &[ScoreRow]) -> Result<(), Box<dyn std::error::Error>> {
    const ROW_HEIGHT: i32 = 16;
    const LABEL_WIDTH: i32 = 320;
    const BAR_WIDTH: i32 = 500;
    let height = (rows.len() as i32 + 2) * ROW_HEIGHT;
    let width = LABEL_WIDTH + BAR_WIDTH + 80;
    let root = SVGBackend::new(path, (width as u32, height as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (number, row) in rows.iter().enumerate() {
        let top = (number as i32 + 1) * ROW_HEIGHT;
        let length = (row.score.attainment * f64::from(BAR_WIDTH)) as i32;
        let is_linnetdale = row.policy == "linnetdale";
        let style = BLACK.mix(if is_linnetdale { 0.8 } else { 0.35 }).filled();
        let corners = [
            (LABEL_WIDTH, top + 2),
            (LABEL_WIDTH + length, top + ROW_HEIGHT - 2),
        ];
        root.draw(&Rectangle::new(corners, style))?;
        let label = format!("{} {}", row.scenario, row.policy);
        root.draw_text(&label, &text_style(), (4, top + 2))?;
        let figure = format!("{:.3}", row.score.attainment);
        root.draw_text(
            &figure,
            &text_style(),
            (LABEL_WIDTH + BAR_WIDTH + 8, top + 2),
        )?;
    }
    root.present()?;
    Ok(())
}

fn text_style() -> plotters::style::TextStyle<'static> {
    plotters::style::TextStyle::from(("sans-serif", 12))
}

//! Renders a time line as SVG, with one lane per host and one mark per event.

use std::fmt::Write;

use linnet_telemetry::{Event, EventLevel, HybridClock};

const LANE_HEIGHT: usize = 46;
const LABEL_WIDTH: usize = 140;
const PLOT_WIDTH: usize = 1_000;
const TOP: usize = 30;

/// Renders events that are in causal order. The text of each event is the tooltip of its mark.
pub(crate) fn render_svg(events: &[Event]) -> String {
    let mut hosts: Vec<&str> = events.iter().map(|event| event.host.as_str()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    let first = events.first().map_or(0, |event| event.stamp);
    let last = events.last().map_or(0, |event| event.stamp);
    let span = (last - first).max(1) as f64;
    let width = LABEL_WIDTH + PLOT_WIDTH + 20;
    let height = TOP + LANE_HEIGHT * hosts.len() + 10;
    let mut svg = format!(
        r#"<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" font-family="sans-serif" font-size="11">"#
    );
    let millis = HybridClock::unix_millis(last) - HybridClock::unix_millis(first);
    let _ = write!(
        svg,
        r#"<text x="4" y="16">{} events over {millis} ms</text>"#,
        events.len()
    );
    for (lane, host) in hosts.iter().enumerate() {
        let y = TOP + lane * LANE_HEIGHT + LANE_HEIGHT / 2;
        let end = LABEL_WIDTH + PLOT_WIDTH;
        let _ = write!(svg, r#"<text x="4" y="{}">{}</text>"#, y + 4, escape(host));
        let _ = write!(
            svg,
            r##"<line x1="{LABEL_WIDTH}" y1="{y}" x2="{end}" y2="{y}" stroke="#bbb"/>"##
        );
    }
    for (number, event) in events.iter().enumerate() {
        let lane = hosts
            .iter()
            .position(|host| *host == event.host)
            .unwrap_or(0);
        let y = TOP + lane * LANE_HEIGHT + LANE_HEIGHT / 2;
        let x = LABEL_WIDTH as f64 + (event.stamp - first) as f64 / span * PLOT_WIDTH as f64;
        draw_mark(&mut svg, event, number, x, y);
    }
    svg.push_str("</svg>\n");
    svg
}

fn draw_mark(svg: &mut String, event: &Event, number: usize, x: f64, y: usize) {
    let colour = match event.code.level() {
        EventLevel::Info => "#2b6cb0",
        EventLevel::Warn => "#c05621",
        EventLevel::Error => "#c53030",
    };
    let text = escape(&format!(
        "{} {} {}",
        event.code.name(),
        event.peer,
        event.detail
    ));
    // Labels alternate above and below the lane, so that those of adjacent marks do not overlap.
    let label_y = if number.is_multiple_of(2) {
        y - 8
    } else {
        y + 17
    };
    let _ = write!(
        svg,
        r#"<circle cx="{x:.1}" cy="{y}" r="4" fill="{colour}"><title>{text}</title></circle>"#
    );
    let _ = write!(
        svg,
        r#"<text x="{x:.1}" y="{label_y}" font-size="8" fill="{colour}">{}</text>"#,
        event.code.number()
    );
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

//! Reports as HTML pages without external resources.

use std::fmt::Write;

use crate::{
    account::{AccountReport, EditAccount},
    burn::{BurnLine, BurnReport},
    plot::{self, Result},
};

const STYLE: &str = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}\
    td,th{border:1px solid #bbb;padding:.2em .6em;text-align:left;vertical-align:top}\
    .page{color:#b00}.ticket{color:#a60}";

/// Escapes the characters that are special in HTML text and attribute values.
pub fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            c => escaped.push(c),
        }
    }
    escaped
}

fn page(title: &str, body: &str) -> String {
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style><h1>{title}</h1>{body}</html>\n"
    )
}

fn row(cells: &[String]) -> String {
    let cells: String = cells.iter().map(|cell| format!("<td>{}</td>", escape(cell))).collect();
    format!("<tr>{cells}</tr>")
}

/// Renders the burn report as a page with plots.
///
/// # Errors
///
/// Fails if a plot cannot be drawn.
pub fn burn_page(report: &BurnReport) -> Result<String> {
    let mut body = String::new();
    let _ = write!(body, "<p>Lists version {}, {} entries.</p>", report.version, report.entries);
    for line in &report.lines {
        body.push_str(&burn_section(line)?);
    }
    Ok(page("Service-level burn", &body))
}

fn burn_section(line: &BurnLine) -> Result<String> {
    let mut text = String::new();
    let _ = write!(
        text,
        "<h2>{}</h2><p>{}% within {} ms; alert: <b class=\"{alert}\">{alert}</b></p><table>\
         <tr><th>minutes</th><th>burn</th><th>missed</th><th>requests</th></tr>",
        escape(&line.name.to_string()),
        line.availability,
        line.latency_millis,
        alert = line.alert,
    );
    for window in &line.windows {
        text.push_str(&row(&[
            (window.window_millis / 60_000).to_string(),
            format!("{:.2}", window.burn),
            window.counts.missed().to_string(),
            window.counts.requests.to_string(),
        ]));
    }
    text.push_str("</table>");
    text.push_str(&plot::burn_chart(line)?);
    if let Some(longest) = line.windows.last() {
        text.push_str(&plot::cause_chart(&longest.counts)?);
    }
    Ok(text)
}

/// Renders the account of edits as a page.
pub fn account_page(report: &AccountReport) -> String {
    let mut body = String::from("<h2>Zones</h2><table><tr><th>zone</th><th>in force</th>");
    body.push_str("<th>newest</th><th>nodes</th><th>lacking</th></tr>");
    for zone in &report.zones {
        let lacking: Vec<_> = zone.lacking.iter().map(ToString::to_string).collect();
        body.push_str(&row(&[
            zone.zone.to_string(),
            zone.in_force.to_string(),
            zone.newest.to_string(),
            zone.nodes.to_string(),
            format!("{} {}", zone.lacking_count, lacking.join(", ")),
        ]));
    }
    body.push_str("</table><h2>Edits</h2>");
    for edit in &report.edits {
        body.push_str(&edit_section(edit));
    }
    page("Account of the lists", &body)
}

fn edit_section(edit: &EditAccount) -> String {
    let mut text = format!(
        "<h3>Version {} by {}</h3><p>{}</p><ul>",
        edit.version,
        escape(edit.operator.as_str()),
        escape(&edit.note)
    );
    for line in edit.lines() {
        let _ = write!(text, "<li>{}</li>", escape(&line));
    }
    text.push_str("</ul>");
    text
}

//! Plots of emulated days as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::emulator::Report;

const WIDTH: u32 = 900;
const ROW: u32 = 300;

/// First requests, and those answered with a session in time, each second and by service group; a row for each arm.
/// Lines are told apart by their dashes as well as by their colours.
pub fn requests(path: &Path, title: &str, arms: &[(&str, &Report)]) -> Result<(), String> {
    let say = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let root = SVGBackend::new(path, (WIDTH, ROW * arms.len() as u32)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| say(&e))?;
    let seconds = arms.iter().map(|(_, report)| day_length(report)).max().unwrap_or(1);
    for ((name, report), area) in arms.iter().zip(root.split_evenly((arms.len(), 1))) {
        let samples = &report.samples[..report.samples.len().min(seconds)];
        let most = samples.iter().flat_map(|s| &s.requests).copied().max().unwrap_or(1).max(1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("{title}: {name}"), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds as f64, (1.0..most * 1.5).log_scale())
            .map_err(|e| say(&e))?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("a second (log)")
            .light_line_style(WHITE)
            .draw()
            .map_err(|e| say(&e))?;
        let asked_at_all = report.groups.iter().enumerate().filter(|(_, group)| group.viewers > 0);
        for (k, (g, group)) in asked_at_all.enumerate() {
            let color = Palette99::pick(k).to_rgba();
            let points = |pick: &dyn Fn(&crate::emulator::Sample) -> u64| -> Vec<(f64, f64)> {
                samples.iter().map(|s| (s.second as f64 + 0.5, (pick(s) as f64).max(1.0))).collect()
            };
            let asked = points(&|s| s.requests[g]);
            chart
                .draw_series(DashedLineSeries::new(asked, 2, 3 + 4 * k as u32, color.stroke_width(1)))
                .map_err(|e| say(&e))?
                .label(format!("{}: asked (dashed)", group.name))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(1)));
            let in_time = points(&|s| s.in_time[g]);
            let width = 2 + 2 * k as u32;
            chart
                .draw_series(LineSeries::new(in_time, color.stroke_width(width)))
                .map_err(|e| say(&e))?
                .label(format!("{}: in time", group.name))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(width)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(|e| say(&e))?;
    }
    root.present().map_err(|e| say(&e))
}

/// The last second in which anybody asked for the first time.
fn day_length(report: &Report) -> usize {
    let asked = |s: &crate::emulator::Sample| s.requests.iter().any(|&n| n > 0);
    report.samples.iter().rposition(asked).map_or(1, |i| i + 1)
}

/// Figures over the number of directors, on an axis that shows growth by the log as a straight line.
pub fn over_directors(path: &Path, title: &str, lines: &[(&str, Vec<(f64, f64)>)]) -> Result<(), String> {
    let say = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let root = SVGBackend::new(path, (WIDTH, ROW)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| say(&e))?;
    let points = || lines.iter().flat_map(|(_, points)| points);
    let from = points().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let to = points().map(|p| p.0).fold(from * 1.1, f64::max);
    let most = points().map(|p| p.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(64)
        .build_cartesian_2d((from..to).log_scale(), 0.0..most * 1.2)
        .map_err(|e| say(&e))?;
    chart
        .configure_mesh()
        .x_desc("directors (log)")
        .y_desc("bytes a second by each")
        .light_line_style(WHITE)
        .draw()
        .map_err(|e| say(&e))?;
    for (k, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(k).to_rgba();
        let width = 2 + 2 * k as u32;
        chart
            .draw_series(LineSeries::new(points.clone(), color.stroke_width(width)))
            .map_err(|e| say(&e))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(width)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
        .map_err(|e| say(&e))?;
    root.present().map_err(|e| say(&e))
}

//! SVG plots of emulated days.

use std::path::Path;

use plotters::prelude::*;

use crate::emulator::Report;

/// Width of a plot, in pixels.
const WIDTH_PX: u32 = 900;
/// Height of one row of plots, in pixels.
const ROW_HEIGHT_PX: u32 = 300;

/// Plots first requests and those answered with a session in time, per second and service group, with a row
/// for each arm. Lines differ in dashes and width as well as in colour.
pub fn requests(path: &Path, title: &str, arms: &[(&str, &Report)]) -> Result<(), String> {
    let error_text = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let root = SVGBackend::new(path, (WIDTH_PX, ROW_HEIGHT_PX * arms.len() as u32)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| error_text(&e))?;
    let seconds = arms.iter().map(|(_, report)| day_length(report)).max().unwrap_or(1);
    for ((name, report), area) in arms.iter().zip(root.split_evenly((arms.len(), 1))) {
        let samples = &report.samples[..report.samples.len().min(seconds)];
        let max_value =
            samples.iter().flat_map(|sample| &sample.requests).copied().max().unwrap_or(1).max(1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(format!("{title}: {name}"), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds as f64, (1.0..max_value * 1.5).log_scale())
            .map_err(|e| error_text(&e))?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("a second (log)")
            .light_line_style(WHITE)
            .draw()
            .map_err(|e| error_text(&e))?;
        let requested_groups = report.groups.iter().enumerate().filter(|(_, group)| group.viewers > 0);
        for (series_index, (group_index, group)) in requested_groups.enumerate() {
            let color = Palette99::pick(series_index).to_rgba();
            let points = |pick: &dyn Fn(&crate::emulator::Sample) -> u64| -> Vec<(f64, f64)> {
                samples
                    .iter()
                    .map(|sample| (sample.second as f64 + 0.5, (pick(sample) as f64).max(1.0)))
                    .collect()
            };
            let requests = points(&|sample| sample.requests[group_index]);
            chart
                .draw_series(DashedLineSeries::new(
                    requests,
                    2,
                    3 + 4 * series_index as u32,
                    color.stroke_width(1),
                ))
                .map_err(|e| error_text(&e))?
                .label(format!("{}: asked (dashed)", group.name))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(1)));
            let in_time = points(&|sample| sample.in_time[group_index]);
            let width = 2 + 2 * series_index as u32;
            chart
                .draw_series(LineSeries::new(in_time, color.stroke_width(width)))
                .map_err(|e| error_text(&e))?
                .label(format!("{}: in time", group.name))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(width)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(|e| error_text(&e))?;
    }
    root.present().map_err(|e| error_text(&e))
}

/// Number of seconds up to the last first request.
fn day_length(report: &Report) -> usize {
    let requests = |sample: &crate::emulator::Sample| sample.requests.iter().any(|&n| n > 0);
    report.samples.iter().rposition(requests).map_or(1, |i| i + 1)
}

/// Plots figures over the number of directors, on a logarithmic axis.
pub fn over_directors(path: &Path, title: &str, lines: &[(&str, Vec<(f64, f64)>)]) -> Result<(), String> {
    let error_text = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
    let root = SVGBackend::new(path, (WIDTH_PX, ROW_HEIGHT_PX)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| error_text(&e))?;
    let points = || lines.iter().flat_map(|(_, points)| points);
    let from = points().map(|p| p.0).fold(f64::INFINITY, f64::min);
    let to = points().map(|p| p.0).fold(from * 1.1, f64::max);
    let max_value = points().map(|p| p.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(64)
        .build_cartesian_2d((from..to).log_scale(), 0.0..max_value * 1.2)
        .map_err(|e| error_text(&e))?;
    chart
        .configure_mesh()
        .x_desc("directors (log)")
        .y_desc("bytes a second by each")
        .light_line_style(WHITE)
        .draw()
        .map_err(|e| error_text(&e))?;
    for (series_index, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(series_index).to_rgba();
        let width = 2 + 2 * series_index as u32;
        chart
            .draw_series(LineSeries::new(points.clone(), color.stroke_width(width)))
            .map_err(|e| error_text(&e))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(width)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()
        .map_err(|e| error_text(&e))?;
    root.present().map_err(|e| error_text(&e))
}

//! Load over time, computed from collected log lines of the gateway, and its plot.

use std::path::Path;

use plotters::prelude::{
    BLACK,
    BLUE,
    ChartBuilder,
    Color,
    GREEN,
    IntoDrawingArea,
    LineSeries,
    MAGENTA,
    PathElement,
    RED,
    RGBColor,
    SVGBackend,
    WHITE, //
};
use strum::{
    Display,
    EnumCount,
    EnumIter,
    IntoEnumIterator, //
};

use crate::trace::Line;

/// Duration of one step of the curves, in milliseconds.
const STEP_MS: u64 = 100;

/// Width and height of the plot in pixels.
const SIZE: (u32, u32) = (1_100, 520);

/// Duration of one step, in seconds.
const STEP_S: f64 = STEP_MS as f64 / 1_000.0;

/// The quantity that a curve shows.
#[derive(Clone, Copy, Debug, Display, EnumCount, EnumIter, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Curve {
    /// Online requests that have not received the first event of their response.
    Waiting,
    /// Online requests whose response is being streamed.
    Streaming,
    /// Batch items that are running.
    Items,
    /// Online requests that were rejected during the step.
    Refused,
    /// Online requests that failed during the step.
    Failed,
}

impl Curve {
    fn color(self) -> RGBColor {
        match self {
            Self::Waiting => RED,
            Self::Streaming => BLUE,
            Self::Items => GREEN,
            Self::Refused => MAGENTA,
            Self::Failed => BLACK,
        }
    }
}

/// Load between two times, in steps of `STEP_MS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadSeries {
    /// Start of the first step, in milliseconds.
    from: u64,
    /// For each step, the values of all curves in the order of [`Curve`].
    steps: Vec<[u32; Curve::COUNT]>,
}

impl LoadSeries {
    /// Computes the load from `from` until `to`, both in milliseconds.
    pub fn of(lines: &[Line], from: u64, to: u64) -> Self {
        let count = to.saturating_sub(from).div_ceil(STEP_MS);
        let steps = vec![[0; Curve::COUNT]; usize::try_from(count).unwrap_or(0)];
        let mut series = Self { from, steps };
        for line in lines {
            series.record(line);
        }
        series
    }

    fn record(&mut self, line: &Line) {
        let number = |name| line.field(name).and_then(|text| text.parse::<u64>().ok());
        let start = line.time.saturating_sub(number("ms").unwrap_or(0));
        match line.event {
            2_501 => {
                let first = start + number("first_ms").unwrap_or(0);
                self.add(Curve::Waiting, start, first);
                self.add(Curve::Streaming, first, line.time);
            }
            2_505 => self.add(Curve::Streaming, start, line.time),
            2_604 => self.add(Curve::Items, start, line.time),
            2_502 => self.add(Curve::Refused, line.time, line.time),
            2_504 => {
                self.add(Curve::Streaming, start, line.time);
                self.add(Curve::Failed, line.time, line.time);
            }
            _ => {}
        }
    }

    /// Adds one to every step that overlaps the time from `start` until `end`.
    fn add(&mut self, curve: Curve, start: u64, end: u64) {
        let series_end = self.from + self.steps.len() as u64 * STEP_MS;
        if end < self.from || start >= series_end {
            return;
        }
        let step = |time: u64| (time.saturating_sub(self.from) / STEP_MS) as usize;
        let last = step(end).min(self.steps.len() - 1);
        for values in &mut self.steps[step(start)..=last] {
            values[curve as usize] += 1;
        }
    }

    /// Returns the values of a curve, one for each step.
    pub fn values(&self, curve: Curve) -> impl Iterator<Item = u32> {
        self.steps.iter().map(move |values| values[curve as usize])
    }

    /// Returns the highest value over all curves.
    fn highest(&self) -> u32 {
        self.steps.iter().flatten().copied().max().unwrap_or(0)
    }

    /// Draws all curves into an SVG file.
    pub fn draw(&self, path: &Path) -> Result<(), String> {
        self.try_draw(path).map_err(|err| err.to_string())
    }

    fn try_draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let length = self.steps.len() as f64 * STEP_S;
        let height = self.highest() + 1;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..length, 0..height)?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc("requests and items")
            .draw()?;
        for curve in Curve::iter() {
            let color = curve.color();
            let steps = self.values(curve).enumerate();
            let points = steps.map(|(step, value)| (step as f64 * STEP_S, value));
            chart
                .draw_series(LineSeries::new(points, color))?
                .label(curve.to_string())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
        Ok(())
    }
}

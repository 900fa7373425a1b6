//! Load over time, gathered from collected log lines of the gateway, and its plot.

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

/// Width of a step of the curves in milliseconds.
const STEP_MS: u64 = 100;

/// Size of the plot in pixels.
const SIZE: (u32, u32) = (1_100, 520);

/// Seconds of one step.
const STEP_S: f64 = STEP_MS as f64 / 1_000.0;

/// What a curve counts.
#[derive(Clone, Copy, Debug, Display, EnumCount, EnumIter, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Curve {
    /// Online requests that wait for their first event.
    Waiting,
    /// Online requests whose answer is being streamed.
    Streaming,
    /// Items of batch jobs that run.
    Items,
    /// Online requests that were refused in the step.
    Refused,
    /// Online requests that failed in the step.
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

/// Load between two times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peak {
    /// Start in milliseconds.
    from: u64,
    /// Values of the curves, in their order, for each step.
    steps: Vec<[u32; Curve::COUNT]>,
}

impl Peak {
    /// Counts the lines from `from` until `to`, both in milliseconds.
    pub fn of(lines: &[Line], from: u64, to: u64) -> Self {
        let count = to.saturating_sub(from).div_ceil(STEP_MS);
        let steps = vec![[0; Curve::COUNT]; usize::try_from(count).unwrap_or(0)];
        let mut peak = Self { from, steps };
        for line in lines {
            peak.take(line);
        }
        peak
    }

    fn take(&mut self, line: &Line) {
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

    /// Counts something that lasted from `start` until `end` in every step that it touched.
    fn add(&mut self, curve: Curve, start: u64, end: u64) {
        let end_of_all = self.from + self.steps.len() as u64 * STEP_MS;
        if end < self.from || start >= end_of_all {
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

    /// Returns the highest value of all curves.
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

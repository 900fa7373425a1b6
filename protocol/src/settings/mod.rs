//! Settings of a daemon: a TOML file, overrides of single fields and their checks.

mod check;
mod load;
mod raw;

pub use check::{FieldError, LogLevel, Settings, Timing};
pub use load::{Override, SettingsError};
pub use raw::{
    RawAdvertise, RawListen, RawOperator, RawPlatform, RawRuntime, RawSettings, RawTiming,
};

//! Settings of a daemon: TOML file, overrides of single fields and validation.

mod check;
mod load;
mod raw;

pub use check::{FieldError, LogLevel, Settings, Timing};
pub use load::{Override, SettingsError};
pub use raw::{
    RawAdvertise, RawListen, RawOperator, RawPlatform, RawRuntime, RawSettings, RawTiming,
};

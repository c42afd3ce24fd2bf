//! Numbers with bounds. A value out of bounds fails while it is deserialized, so that the error has the path
//! of its field.

use serde::Deserialize;

macro_rules! bounded {
    ($($name:ident: $requirement:literal, $is_valid:expr;)*) => {$(
        /// A number within the bounds that are stated where `bounded!` is invoked.
        #[derive(Clone, Copy, Deserialize)]
        #[serde(try_from = "f64")]
        pub struct $name(f64);

        impl TryFrom<f64> for $name {
            type Error = String;

            fn try_from(value: f64) -> Result<$name, String> {
                let is_valid: fn(f64) -> bool = $is_valid;
                if is_valid(value) { Ok($name(value)) } else { Err(format!("{value} is not {}", $requirement)) }
            }
        }

        impl $name {
            pub fn get(self) -> f64 {
                self.0
            }
        }
    )*};
}

bounded! {
    Positive: "greater than 0", |value| value > 0.0;
    NonNegative: "0 or greater", |value| value >= 0.0;
    Fraction: "between 0 and 1", |value| (0.0..=1.0).contains(&value);
}

/// The default of 0 is the value of a field that is left out.
impl Default for NonNegative {
    fn default() -> NonNegative {
        NonNegative(0.0)
    }
}

/// An integer from `MIN` to `MAX`. JSON may write it with a decimal point, as in `2.0`.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub struct BoundedInteger<const MIN: u32 = 0, const MAX: u32 = { u32::MAX }>(u32);

impl<const MIN: u32, const MAX: u32> TryFrom<f64> for BoundedInteger<MIN, MAX> {
    type Error = String;

    fn try_from(value: f64) -> Result<Self, String> {
        if value.fract() == 0.0 && (f64::from(MIN)..=f64::from(MAX)).contains(&value) {
            Ok(BoundedInteger(value as u32))
        } else {
            Err(format!("{value} is not an integer from {MIN} to {MAX}"))
        }
    }
}

impl<const MIN: u32, const MAX: u32> BoundedInteger<MIN, MAX> {
    pub fn get(self) -> usize {
        self.0 as usize
    }
}

impl<const MAX: u32> Default for BoundedInteger<0, MAX> {
    fn default() -> Self {
        BoundedInteger(0)
    }
}

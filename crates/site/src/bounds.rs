//! Figures within bounds: one that is out of them is refused while it is read, so that the error has the way to its field.

use serde::Deserialize;

macro_rules! bounded {
    ($($name:ident: $must:literal, $holds:expr;)*) => {$(
        #[derive(Clone, Copy, Deserialize)]
        #[serde(try_from = "f64")]
        pub struct $name(f64);

        impl TryFrom<f64> for $name {
            type Error = String;

            fn try_from(figure: f64) -> Result<$name, String> {
                let holds: fn(f64) -> bool = $holds;
                if holds(figure) { Ok($name(figure)) } else { Err(format!("{figure} is not {}", $must)) }
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
    Above0: "above 0", |figure| figure > 0.0;
    From0: "0 or more", |figure| figure >= 0.0;
    Part: "from 0 to 1", |figure| (0.0..=1.0).contains(&figure);
}

/// What is left out.
impl Default for From0 {
    fn default() -> From0 {
        From0(0.0)
    }
}

/// A whole number, written with a decimal point or without.
#[derive(Clone, Copy, Deserialize)]
#[serde(try_from = "f64")]
pub struct Whole<const LEAST: u32 = 0, const MOST: u32 = { u32::MAX }>(u32);

impl<const LEAST: u32, const MOST: u32> TryFrom<f64> for Whole<LEAST, MOST> {
    type Error = String;

    fn try_from(figure: f64) -> Result<Self, String> {
        if figure.fract() == 0.0 && (f64::from(LEAST)..=f64::from(MOST)).contains(&figure) {
            Ok(Whole(figure as u32))
        } else {
            Err(format!("{figure} is not a whole number from {LEAST} to {MOST}"))
        }
    }
}

impl<const LEAST: u32, const MOST: u32> Whole<LEAST, MOST> {
    pub fn get(self) -> usize {
        self.0 as usize
    }
}

impl<const MOST: u32> Default for Whole<0, MOST> {
    fn default() -> Self {
        Whole(0)
    }
}

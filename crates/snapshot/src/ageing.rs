//! How old a memory is, and what that makes it worth; how often it is written. Decisions, free of I/O and clock.

use std::fmt;

use shalereel::interface::{ControllerConfig, Nanos};

/// A memory is written once in so many report cycles: less was learned meanwhile than is lost by its age.
const WRITTEN: Nanos = 2;
/// Beyond so many report cycles nothing of it is recalled: reports of then are of another evening.
const TRUSTED: Nanos = 600;
/// A clock may be so many cycles ahead of the one that wrote it; beyond, one of them was set.
const AHEAD: Nanos = 1;
/// A proxy's remembered rate weighs this part beside what it says itself, faded over so many cycles.
const RATE_PART: f64 = 0.5;
const RATE_CYCLES: f64 = 30.0;

/// Why nothing of a memory is recalled, though it is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distrust {
    /// It comes from later than now: a clock was set back, and its age is unknown.
    Later(Nanos),
    Old(Nanos),
}

impl fmt::Display for Distrust {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let second = 1_000_000_000;
        match self {
            Distrust::Later(span) => write!(f, "it is from {} s ahead of the clock", span / second),
            Distrust::Old(span) => write!(f, "it is {} s old", span / second),
        }
    }
}

/// Ageing in ratios to the report cycle.
#[derive(Clone, Copy, Debug)]
pub struct Ageing {
    pub(crate) cycle: Nanos,
}

impl Ageing {
    pub fn new(facts: &ControllerConfig) -> Self {
        Ageing { cycle: facts.report_interval }
    }

    /// When a memory is written after the last one was.
    pub fn written_by(&self, written: Nanos) -> Nanos {
        written + WRITTEN * self.cycle
    }

    /// How long ago what it says was so, by the wall clock. Errors: it says nothing any more.
    pub fn away(&self, at: Nanos, now: Nanos) -> Result<Nanos, Distrust> {
        match now.checked_sub(at) {
            Some(away) if away > TRUSTED * self.cycle => Err(Distrust::Old(away)),
            Some(away) => Ok(away),
            None if at - now <= AHEAD * self.cycle => Ok(0),
            None => Err(Distrust::Later(at - now)),
        }
    }

    /// The rate that a proxy is taken to bring: between what it says itself and what came of late.
    pub fn rate(&self, told: f64, remembered: Option<f64>, away: Nanos) -> f64 {
        let Some(remembered) = remembered else { return told };
        let faded = (-(away as f64) / (RATE_CYCLES * self.cycle as f64)).exp();
        told + (remembered - told) * RATE_PART * faded
    }
}

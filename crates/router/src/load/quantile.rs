//! Running estimate of a quantile in constant memory.

/// Estimate of one quantile of positive samples, which follows a changing distribution.
#[derive(Clone, Copy, Debug)]
pub struct Quantile {
    /// The quantile, between 0 and 1.
    rank: f64,
    /// Relative change of the estimate at a sample, before it is weighted with the quantile.
    step: f64,
    value: Option<f64>,
}

impl Quantile {
    /// Creates an estimate of the quantile `rank` that begins with the first sample and changes at
    /// each by a fraction of up to `step`.
    #[must_use]
    pub const fn new(rank: f64, step: f64) -> Self {
        Self {
            rank,
            step,
            value: None,
        }
    }

    /// Creates an estimate as [`Self::new`] does that begins with `value`.
    #[must_use]
    pub const fn starting_at(value: f64, rank: f64, step: f64) -> Self {
        Self {
            rank,
            step,
            value: Some(value),
        }
    }

    /// The estimate; `None` before the first sample.
    #[must_use]
    pub const fn value(&self) -> Option<f64> {
        self.value
    }

    /// Adds a sample. One that isn't positive is ignored.
    pub fn record(&mut self, sample: f64) {
        if !(sample > 0.0 && sample.is_finite()) {
            return;
        }
        let value = self.value.unwrap_or(sample);
        // In equilibrium, a share `rank` of the samples lowers the estimate.
        let change = if sample > value {
            self.step * self.rank
        } else {
            -self.step * (1.0 - self.rank)
        };
        self.value = Some(value * change.exp());
    }
}

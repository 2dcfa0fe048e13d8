//! How long engines take relative to the cost model.
//!
//! Engines of a service are mostly alike, so that a few readings anywhere tell what to expect of all
//! of them; what sets one engine apart takes more of its own readings to show.

/// Least weight of a reading in the pace of a service; about the last fifty count.
const SERVICE_WEIGHT: f64 = 0.02;
/// Weight of a reading in what sets an engine apart.
const ENGINE_WEIGHT: f64 = 0.05;
/// Largest factor by which one reading counts as slower or faster than its forecast; a reading may
/// stand still for reasons of its own.
const MOST_RATIO: f64 = 4.0;
/// Largest factor between a pace and the cost model, either way.
const MOST_PACE: f64 = 50.0;

/// A factor that is learned from ratios of what was measured to what was forecast with it.
#[derive(Debug, Clone, Copy)]
pub struct Slowdown {
    log: f64,
    readings: f64,
    least_weight: f64,
}

impl Slowdown {
    /// Returns the pace of a service of which nothing is known: its first readings count in full.
    pub fn of_service() -> Self {
        Slowdown {
            log: 0.0,
            readings: 0.0,
            least_weight: SERVICE_WEIGHT,
        }
    }

    /// Returns the pace of an engine relative to its service's, which it has until it shows another.
    pub fn of_engine() -> Self {
        Slowdown {
            log: 0.0,
            readings: f64::INFINITY,
            least_weight: ENGINE_WEIGHT,
        }
    }

    /// Takes in a reading that took `ratio` times as long as was forecast with this pace.
    ///
    /// ```
    /// use pistachiohall::placement::pace::Slowdown;
    /// let mut pace = Slowdown::of_service();
    /// pace.record(3.0);
    /// assert!((pace.factor() - 3.0).abs() < 1e-9);
    /// pace.record(1.0);
    /// assert!((pace.factor() - 3.0).abs() < 1e-9);
    /// ```
    pub fn record(&mut self, ratio: f64) {
        self.readings += 1.0;
        let weight = self.readings.recip().max(self.least_weight);
        let ratio = ratio.clamp(MOST_RATIO.recip(), MOST_RATIO);
        let bound = MOST_PACE.ln();
        self.log = (self.log + weight * ratio.ln()).clamp(-bound, bound);
    }

    /// Returns how many times as long as in the cost model a reading takes.
    pub fn factor(&self) -> f64 {
        self.log.exp()
    }
}

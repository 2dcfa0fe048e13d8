//! Message that tells the pace of an engine.

use crate::placement::pace::Factor;
use crate::placement::pace::Told;

/// Pace of one engine, as the sender has measured it, relative to its service.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Pace {
    /// Digest of the engine's name.
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// Slowdown of its prefills, in thousandths.
    #[prost(uint32, tag = "2")]
    pub prefill: u32,
    /// Number of prefills that it rests on; 0 if nothing is known.
    #[prost(uint32, tag = "3")]
    pub prefill_samples: u32,
    /// Slowdown of its streams, in thousandths.
    #[prost(uint32, tag = "4")]
    pub decode: u32,
    /// Number of pauses that it rests on; 0 if nothing is known.
    #[prost(uint32, tag = "5")]
    pub decode_samples: u32,
}

impl Pace {
    /// Returns the message that tells the pace of an engine.
    ///
    /// ```
    /// use pistachiohall::gossip::Pace;
    /// use pistachiohall::placement::pace::Told;
    /// assert_eq!(Pace::new(7, &Told::default()).told(), Told::default());
    /// assert!(!Pace { engine: 7, ..Pace::default() }.told().is_possible());
    /// ```
    pub fn new(engine: u32, told: &Told) -> Self {
        let thousandths = |factor: f64| (factor * 1000.0).round() as u32;
        Pace {
            engine,
            prefill: thousandths(told.prefill.factor),
            prefill_samples: told.prefill.samples as u32,
            decode: thousandths(told.decode.factor),
            decode_samples: told.decode.samples as u32,
        }
    }

    /// Returns the pace that the message tells.
    pub fn told(&self) -> Told {
        let factor = |thousandths: u32, samples: u32| Factor {
            factor: f64::from(thousandths) / 1000.0,
            samples: f64::from(samples),
        };
        Told {
            prefill: factor(self.prefill, self.prefill_samples),
            decode: factor(self.decode, self.decode_samples),
        }
    }
}

//! Which parts of prompts an engine is believed to keep.
//!
//! Engines keep what was read last, and the least recently used parts yield. A host learns what is
//! read where from its own placements and those that its peers tell it.

use std::collections::HashMap;

use crate::gateway::call::Block;
use crate::id::BlockId;

/// Share of an engine's memory within which parts are believed to stay; running requests and
/// what was not told hold the rest.
const USABLE_SHARE: f64 = 0.75;
/// Parts after which forgotten ones are cleared out.
const MOST_PARTS: usize = 8192;

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u64,
    /// Tokens that the engine had read when the part was used last.
    used_at: u64,
}

/// Parts that one engine is believed to keep.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    blocks: HashMap<BlockId, Kept>,
    /// Tokens read so far.
    read: u64,
    /// Tokens that fit in memory.
    memory: u64,
}

impl Cache {
    /// Returns an empty cache of an engine whose memory holds `memory` tokens.
    pub fn new(memory: u64) -> Self {
        Cache {
            memory,
            ..Cache::default()
        }
    }

    /// Returns the tokens at the start of a prompt that need not be read.
    ///
    /// ```
    /// use pistachiohall::gateway::call::Block;
    /// use pistachiohall::placement::cache::Cache;
    /// let mut cache = Cache::new(1000);
    /// let shared = Block { id: 1, tokens: 300 };
    /// cache.record(&[shared, Block { id: 2, tokens: 100 }]);
    /// assert_eq!(cache.cached_tokens(&[shared, Block { id: 3, tokens: 100 }]), 300);
    /// cache.record(&[Block { id: 4, tokens: 900 }]);
    /// assert_eq!(cache.cached_tokens(&[shared]), 0);
    /// ```
    pub fn cached_tokens(&self, blocks: &[Block]) -> u64 {
        blocks
            .iter()
            .take_while(|block| self.holds(block.id))
            .map(|block| block.tokens)
            .sum()
    }

    fn holds(&self, id: BlockId) -> bool {
        self.blocks.get(&id).is_some_and(|kept| self.is_kept(kept))
    }

    fn is_kept(&self, kept: &Kept) -> bool {
        let most = (self.memory as f64 * USABLE_SHARE) as u64;
        self.read - kept.used_at + kept.tokens <= most
    }

    /// Notes that a prompt with these parts is read at the engine.
    pub fn record(&mut self, blocks: &[Block]) {
        for block in blocks {
            if !self.holds(block.id) {
                self.read += block.tokens;
            }
        }
        let used_at = self.read;
        for block in blocks {
            let tokens = block.tokens;
            self.blocks.insert(block.id, Kept { tokens, used_at });
        }
        if self.blocks.len() > MOST_PARTS {
            let memory = (self.memory as f64 * USABLE_SHARE) as u64;
            let read = self.read;
            self.blocks
                .retain(|_, kept| read - kept.used_at + kept.tokens <= memory);
        }
    }
}

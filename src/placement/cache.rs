//! Estimate of the prompt blocks in an engine's KV cache.
//!
//! Engines evict the least recently used blocks. A host learns which engine prefilled which blocks
//! from its own placements and from those that its peers report.

use std::collections::HashMap;

use crate::gateway::call::Block;
use crate::id::BlockId;

/// Share of an engine's KV cache capacity within which blocks are assumed to stay; running requests
/// and prefills that were not reported take the rest.
const USABLE_SHARE: f64 = 0.75;
/// Number of blocks above which evicted ones are removed.
const MAX_BLOCKS: usize = 8192;

#[derive(Debug, Clone, Copy)]
struct Entry {
    tokens: u64,
    /// Value of `Cache::prefilled_tokens` when the block was last used.
    used_at: u64,
}

/// Estimate of the prompt blocks that one engine has cached.
#[derive(Debug, Clone, Default)]
pub struct Cache {
    blocks: HashMap<BlockId, Entry>,
    /// Tokens prefilled so far.
    prefilled_tokens: u64,
    /// KV cache capacity.
    capacity_tokens: u64,
}

impl Cache {
    /// Returns an empty cache for an engine whose KV cache holds `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Self {
        Cache {
            capacity_tokens,
            ..Cache::default()
        }
    }

    /// Returns the number of tokens at the start of a prompt that need no prefill.
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
            .take_while(|block| self.has(block.id))
            .map(|block| block.tokens)
            .sum()
    }

    fn has(&self, id: BlockId) -> bool {
        self.blocks
            .get(&id)
            .is_some_and(|entry| self.is_cached(entry))
    }

    fn is_cached(&self, entry: &Entry) -> bool {
        let max_tokens = (self.capacity_tokens as f64 * USABLE_SHARE) as u64;
        self.prefilled_tokens - entry.used_at + entry.tokens <= max_tokens
    }

    /// Records that the engine prefills a prompt with these blocks.
    pub fn record(&mut self, blocks: &[Block]) {
        for block in blocks {
            if !self.has(block.id) {
                self.prefilled_tokens += block.tokens;
            }
        }
        let used_at = self.prefilled_tokens;
        for block in blocks {
            let tokens = block.tokens;
            self.blocks.insert(block.id, Entry { tokens, used_at });
        }
        if self.blocks.len() > MAX_BLOCKS {
            let max_tokens = (self.capacity_tokens as f64 * USABLE_SHARE) as u64;
            let prefilled_tokens = self.prefilled_tokens;
            self.blocks
                .retain(|_, entry| prefilled_tokens - entry.used_at + entry.tokens <= max_tokens);
        }
    }
}

//! Speeds and sizes of an engine.

use std::time::Duration;

/// Speeds, sizes and habits of an engine. Times are as the engine keeps them:
/// already divided by the speed factor of the command line.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Time of one decoding step with one running request.
    pub token_time: Duration,
    /// Time to compute one cold token of a prompt.
    pub prefill_token_time: Duration,
    /// Memory for KV entries.
    pub kv_tokens: u64,
    /// Most requests that run at once.
    pub max_running: usize,
    /// How late `GET /load` is.
    pub load_lag: Duration,
    /// How late cache events are.
    pub event_lag: Duration,
    /// Cache events that are lost, of 100.
    pub event_gap_percent: u64,
    /// Time that an order takes.
    pub order_time: Duration,
    /// Whether an order with an old fence is refused.
    pub check_fences: bool,
    /// Time to export or import one token of KV cache.
    pub transfer_token_time: Duration,
    /// Models that the engine serves; any when empty.
    pub models: Vec<String>,
    /// Seed of the events that are lost.
    pub seed: u64,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            token_time: Duration::from_millis(20),
            prefill_token_time: Duration::from_micros(200),
            kv_tokens: 65_536,
            max_running: 16,
            load_lag: Duration::from_millis(500),
            event_lag: Duration::from_millis(500),
            event_gap_percent: 5,
            order_time: Duration::from_millis(200),
            check_fences: false,
            transfer_token_time: Duration::from_micros(2),
            models: Vec::new(),
            seed: 1,
        }
    }
}

impl EngineConfig {
    /// The same engine, with all of its work `speed` times as fast.
    pub fn sped_up(mut self, speed: f64) -> Self {
        for time in [
            &mut self.token_time,
            &mut self.prefill_token_time,
            &mut self.order_time,
            &mut self.transfer_token_time,
        ] {
            *time = time.div_f64(speed);
        }
        self
    }
}

//! The engines of a group, their free slots, and the choice of an engine for a turn.

use std::collections::HashMap;

use rosebend_state::deployment::{EndpointIdentity, InstanceId};

use super::estimates::Estimates;
use super::message::PlacementRequest;

/// Cost of a prompt token that is not in the memory of an engine, in milliseconds; the
/// directory uses the same cost.
const COLD_TOKEN_MS: f64 = 0.10;
/// Cost of an engine whose slots are all in use, in milliseconds; the directory uses the
/// same cost.
const FULL_ENGINE_MS: f64 = 30.0;

/// Number of slots for which an engine gets one further turn while turns wait. Between the
/// end of a turn and the arrival of the next one, a slot is empty for the time of two
/// messages and a connection; on hosts with a tenth of a core that is a tenth of a turn.
const SLOTS_PER_EXTRA_TURN: u32 = 6;

/// An engine of the group as the host that schedules it knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// Id and start of the engine.
    pub identity: EndpointIdentity,
    /// Number of requests that the engine runs at the same time.
    pub slots: u32,
    /// Time that work takes, in percent of the usual time; 100 without a report.
    pub work_time_percent: u32,
    /// Requests at the engine, according to load reports, that the scheduler did not
    /// place.
    pub unplaced_requests: u32,
    /// Whether the engine is in backoff or failing. It is used only if no other engine is
    /// left.
    pub is_avoided: bool,
}

/// Position of an engine in the current set.
type EngineIndex = usize;

#[derive(Debug)]
struct Engine {
    state: EngineState,
    /// Number of placements at the engine, including those learned from reports.
    placements: u32,
}

impl Engine {
    fn used_slots(&self) -> u32 {
        self.placements.saturating_add(self.state.unplaced_requests)
    }

    fn free_slots(&self) -> u32 {
        self.state.slots.saturating_sub(self.used_slots())
    }

    /// Returns the number of turns that may be placed while turns wait.
    fn free_places(&self) -> u32 {
        let slots = self.state.slots;
        let places = slots.saturating_add(slots / SLOTS_PER_EXTRA_TURN);
        places.saturating_sub(self.used_slots())
    }

    fn is_excluded(&self, excluded: &[InstanceId]) -> bool {
        excluded.contains(&self.state.identity.instance)
    }
}

/// Result of choosing an engine for a turn.
#[derive(Debug)]
pub(super) enum EngineChoice {
    /// This engine has a free slot, or a place for a turn that has waited.
    Free(EndpointIdentity),
    /// The engines that the turn may use have none.
    Full,
    /// The turn may use no engine of the group.
    NoEngine,
}

/// The engines of a group.
#[derive(Debug, Default)]
pub(super) struct Engines {
    engines: Vec<Engine>,
    index: HashMap<EndpointIdentity, EngineIndex>,
    /// Placements at engines that are not in the current set. An engine may return while
    /// they run.
    absent: HashMap<EndpointIdentity, u32>,
}

impl Engines {
    /// Replaces the set of usable engines and keeps the placements.
    pub(super) fn set(&mut self, states: Vec<EngineState>) {
        for engine in self.engines.drain(..) {
            if engine.placements > 0 {
                self.absent.insert(engine.state.identity, engine.placements);
            }
        }
        self.index.clear();
        for state in states.into_iter().filter(|state| state.slots > 0) {
            if self.index.contains_key(&state.identity) {
                continue;
            }
            let placements = self.absent.remove(&state.identity).unwrap_or(0);
            self.index
                .insert(state.identity.clone(), self.engines.len());
            self.engines.push(Engine { state, placements });
        }
    }

    /// Counts a placement at an engine.
    pub(super) fn add(&mut self, identity: &EndpointIdentity) {
        match self.index.get(identity) {
            Some(&index) => self.engines[index].placements += 1,
            None => *self.absent.entry(identity.clone()).or_insert(0) += 1,
        }
    }

    /// Ends a placement at an engine.
    pub(super) fn remove(&mut self, identity: &EndpointIdentity) {
        if let Some(&index) = self.index.get(identity) {
            let placements = &mut self.engines[index].placements;
            *placements = placements.saturating_sub(1);
            return;
        }
        if let Some(placements) = self.absent.get_mut(identity) {
            *placements = placements.saturating_sub(1);
            if *placements == 0 {
                self.absent.remove(identity);
            }
        }
    }

    /// Returns the number of placements at an engine.
    pub(super) fn placements_at(&self, identity: &EndpointIdentity) -> u32 {
        match self.index.get(identity) {
            Some(&index) => self.engines[index].placements,
            None => self.absent.get(identity).copied().unwrap_or(0),
        }
    }

    /// Returns the work time of an engine, in percent of the usual time.
    pub(super) fn work_time_percent(&self, identity: &EndpointIdentity) -> u32 {
        let index = self.index.get(identity);
        index.map_or(100, |&index| self.engines[index].state.work_time_percent)
    }

    /// Returns the number of free slots that turns without excluded engines may use.
    pub(super) fn free_slots(&self) -> u32 {
        let free = self.usable(&[]).map(Engine::free_slots);
        free.fold(0, u32::saturating_add)
    }

    /// Returns the number of slots that turns without excluded engines may use, in use or
    /// not.
    pub(super) fn slots(&self) -> u32 {
        let slots = self.usable(&[]).map(|engine| engine.state.slots);
        slots.fold(0, u32::saturating_add)
    }

    /// Chooses the engine with a free slot at which a turn is expected to cost least time. A
    /// turn that has waited may also get a place beyond the slots.
    pub(super) fn choose(
        &self,
        request: &PlacementRequest,
        estimates: &Estimates,
        has_waited: bool,
    ) -> EngineChoice {
        let turn_ms = estimates.turn_ms(request.expected_output_tokens);
        let warm_index = request.warm_engine.as_ref();
        let warm_index = warm_index.and_then(|identity| self.index.get(identity));
        let warm_engine = warm_index.map(|&index| &self.engines[index].state.identity);
        let cold_ms = request.warm_tokens as f64 * COLD_TOKEN_MS;
        let mut has_usable = false;
        let mut best: Option<(f64, &Engine)> = None;
        for engine in self.usable(&request.excluded) {
            has_usable = true;
            let free = match has_waited {
                true => engine.free_places(),
                false => engine.free_slots(),
            };
            if free == 0 {
                continue;
            }
            let factor = f64::from(engine.state.work_time_percent) / 100.0;
            let is_warm =
                warm_engine.is_some_and(|warm| std::ptr::eq(warm, &engine.state.identity));
            let use_share = f64::from(engine.used_slots()) / f64::from(engine.state.slots);
            let prompt_ms = if is_warm { 0.0 } else { cold_ms };
            let cost_ms = factor * turn_ms + prompt_ms + use_share * FULL_ENGINE_MS;
            if best.is_none_or(|(best_ms, _)| cost_ms < best_ms) {
                best = Some((cost_ms, engine));
            }
        }
        match best {
            Some((_, engine)) => EngineChoice::Free(engine.state.identity.clone()),
            None if has_usable => EngineChoice::Full,
            None => EngineChoice::NoEngine,
        }
    }

    /// Returns the engines that are not excluded. Avoided engines are among them only if
    /// there are no others.
    fn usable<'a>(&'a self, excluded: &'a [InstanceId]) -> impl Iterator<Item = &'a Engine> {
        let allowed = || {
            let engines = self.engines.iter();
            engines.filter(|engine| !engine.is_excluded(excluded))
        };
        let all_avoided = allowed().all(|engine| engine.state.is_avoided);
        allowed().filter(move |engine| all_avoided || !engine.state.is_avoided)
    }
}

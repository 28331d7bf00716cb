//! The policies that are replayed side by side: baselines, ours, and ours with
//! one part switched off.

use rosebend_coordination::pause::PausePolicy;
use rosebend_coordination::queue::{Order, ProgramOrder};
use rosebend_coordination::routing::{RoutingPolicy, Scoring};

/// What a policy is compared as.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// A usual way, to be beaten.
    Baseline,
    /// What the processes run.
    Ours,
    /// Ours without one part.
    Ablation,
}

/// One setting of all the decisions.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Its name in the report.
    pub name: &'static str,
    /// What it is compared as.
    pub role: Role,
    /// Order of waiting calls.
    pub order: Order,
    /// Shares endpoints between customers.
    pub fair_share: bool,
    /// Holds calls back before the engine; otherwise the engine gets them as
    /// they come.
    pub queue_before_engine: bool,
    /// Choice of endpoints.
    pub routing: RoutingPolicy,
    /// What is done with KV memory in a pause.
    pub pause: PausePolicy,
    /// Tells router and queue which prefixes programs share.
    pub shared_prefixes: bool,
    /// Frees the cache of programs and sub-agents that have ended.
    pub frees_ended: bool,
    /// Bounds retries.
    pub retry_budget: bool,
}

impl Policy {
    /// What the processes run.
    pub fn ours() -> Self {
        Self {
            name: "ours",
            role: Role::Ours,
            order: Order::Program(ProgramOrder::default()),
            fair_share: true,
            queue_before_engine: true,
            routing: RoutingPolicy::Scored(Scoring::default()),
            pause: PausePolicy::Learned { can_export: true },
            shared_prefixes: true,
            frees_ended: true,
            retry_budget: true,
        }
    }

    /// All of them, ours first.
    pub fn all() -> Vec<Self> {
        let mut all = vec![Self::ours()];
        all.extend(Self::baselines());
        all.extend(Self::ablations());
        all
    }

    /// A baseline: endpoints get calls as they come.
    fn baseline(name: &'static str, routing: RoutingPolicy) -> Self {
        Self {
            name,
            role: Role::Baseline,
            order: Order::Fifo,
            fair_share: false,
            queue_before_engine: false,
            routing,
            pause: PausePolicy::AlwaysDrop,
            shared_prefixes: true,
            frees_ended: false,
            retry_budget: true,
        }
    }

    fn baselines() -> Vec<Self> {
        let queued = |name, order| Self {
            order,
            queue_before_engine: true,
            ..Self::baseline(name, RoutingPolicy::LeastLoaded)
        };
        vec![
            Self::baseline("round-robin", RoutingPolicy::RoundRobin),
            Self::baseline("least-loaded", RoutingPolicy::LeastLoaded),
            Self::baseline("session-affinity", RoutingPolicy::SessionAffinity),
            queued("first-come", Order::Fifo),
            queued("shortest-request", Order::ShortestRequest),
        ]
    }

    fn ablations() -> Vec<Self> {
        let without = |name| Self {
            name,
            role: Role::Ablation,
            ..Self::ours()
        };
        let scored = |name, scoring| Self {
            routing: RoutingPolicy::Scored(scoring),
            ..without(name)
        };
        let no_ageing = ProgramOrder {
            ageing: false,
            ..ProgramOrder::default()
        };
        vec![
            Self {
                order: Order::Fifo,
                ..without("-program-order")
            },
            Self {
                order: Order::Program(no_ageing),
                ..without("-ageing")
            },
            Self {
                queue_before_engine: false,
                ..without("-queue")
            },
            scored(
                "-warm",
                Scoring {
                    warm: false,
                    ..Scoring::default()
                },
            ),
            scored(
                "-move",
                Scoring {
                    moves: false,
                    ..Scoring::default()
                },
            ),
            scored(
                "-subset",
                Scoring {
                    subset: usize::MAX,
                    ..Scoring::default()
                },
            ),
            scored(
                "-correction",
                Scoring {
                    corrects_reports: false,
                    ..Scoring::default()
                },
            ),
            Self {
                pause: PausePolicy::AlwaysKeep,
                ..without("-pause(keep)")
            },
            Self {
                pause: PausePolicy::AlwaysDrop,
                ..without("-pause(drop)")
            },
            Self {
                pause: PausePolicy::Learned { can_export: false },
                ..without("-export")
            },
            Self {
                shared_prefixes: false,
                ..without("-shared-prefix")
            },
            Self {
                frees_ended: false,
                ..without("-free-ended")
            },
            Self {
                retry_budget: false,
                ..without("-retry-budget")
            },
            Self {
                fair_share: false,
                ..without("-fair-share")
            },
        ]
    }
}

//! What declared resources mean for a new program.

use rosebend_entry::control::{Directory, ProgramLimits};
use rosebend_state::{id::ProgramId, resource::Resource};
use serde_json::json;

fn directory() -> Directory {
    let resources: Vec<Resource> = serde_json::from_value(json!([
        {"kind": "customer", "name": "caribmar", "spec": {"budget_ceiling_tokens": 100_000}},
        {"kind": "session", "name": "caribmar/renewal-17",
         "spec": {"budget_tokens": 40_000, "turn_limit": 60, "wall_time_limit_ms": 3_600_000}},
        {"kind": "policy", "name": "default",
         "spec": {"default_budget_tokens": 70_000, "default_turn_limit": 300,
                  "default_wall_time_limit_ms": 7_200_000}},
    ]))
    .unwrap();
    Directory::new(&resources)
}

fn limits<T>(budget_tokens: T, turn_limit: T, wall_limit_ms: T) -> ProgramLimits<T> {
    ProgramLimits {
        budget_tokens,
        turn_limit,
        wall_limit_ms,
    }
}

#[test]
fn a_program_gets_what_is_asked_within_what_is_declared() {
    let directory = directory();
    let granted =
        |program: &str, asked| directory.limits(&ProgramId::try_from(program).unwrap(), asked);
    let nothing = limits(None, None, None);
    let little = limits(Some(10), Some(2), Some(1_000));
    let much = limits(Some(900_000), Some(9_000), Some(86_400_000));

    let declared = "caribmar/renewal-17";
    assert_eq!(granted(declared, nothing), limits(40_000, 60, 3_600_000));
    assert_eq!(granted(declared, little), limits(10, 2, 1_000));
    assert_eq!(granted(declared, much), limits(40_000, 60, 3_600_000));

    // Nobody declared it: the policy's defaults, and the customer's ceiling.
    let other = "caribmar/renewal-18";
    assert_eq!(granted(other, nothing), limits(70_000, 300, 7_200_000));
    assert_eq!(granted(other, much), limits(100_000, 9_000, 86_400_000));

    // A customer without a ceiling gets what it asks for.
    assert_eq!(
        granted("coastal/dispatch-4", much),
        limits(900_000, 9_000, 86_400_000)
    );
}

#[test]
fn without_resources_the_policys_own_defaults_hold() {
    let program = ProgramId::try_from("coastal/dispatch-4").unwrap();
    let granted = Directory::default().limits(&program, limits(None, None, None));
    assert_eq!(granted, limits(1_000_000, 400, 86_400_000));
}

#[test]
fn a_tool_runs_only_on_the_endpoints_that_it_names() {
    let endpoint = |name: &str| {
        json!({"kind": "endpoint", "name": name,
               "spec": {"sidecar_address": "127.0.0.1:9101", "availability_zone": "pg-hall",
                        "kind": "service", "serves": ["book-visit", "quote"]}})
    };
    let resources: Vec<Resource> = serde_json::from_value(json!([
        endpoint("dispatch-app-1"),
        endpoint("dispatch-app-2"),
        {"kind": "tool", "name": "book-visit", "spec": {"endpoints": ["dispatch-app-2"]}},
        {"kind": "tool", "name": "quote", "spec": {}},
    ]))
    .unwrap();
    let directory = Directory::new(&resources);
    assert_eq!(directory.endpoints["dispatch-app-1"].targets, ["quote"]);
    assert_eq!(
        directory.endpoints["dispatch-app-2"].targets,
        ["book-visit", "quote"]
    );
}

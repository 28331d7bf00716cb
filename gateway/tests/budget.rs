//! Programs whose budget holds a turn are never refused for it.
//!
//! What was seen: after all gateways had been killed at once, programs that
//! went on from a kept turn were answered 402 at every host until their callers
//! gave up, although hardly any of them had generated a token. How it came
//! about: with each settlement, also that of a turn which had found no endpoint
//! with room, a gateway drew the program's next turn ahead; the caller's next
//! attempt went to another gateway, for which those tokens were as good as
//! spent, and what a killed process had drawn stayed so for ever. The cause is a
//! reservation that only its holder may use and nobody takes back. The trail of
//! one program proved it: a reservation granted at one host, refused there for
//! want of room, and refused for its budget at the next host 160 ms later.

mod support;

use rosebend_standin::backend::BackendFaults;
use support::{Ask, Site};

const MODELS: usize = 0;

/// A turn that may generate 100 tokens, and generates 30.
fn turn(attempt: &str, budget_tokens: u64) -> Ask {
    Ask::turn(attempt, "p1", "x").header("token-budget", &budget_tokens.to_string())
}

#[actix_rt::test]
async fn a_turn_that_found_no_room_at_one_host_is_served_at_another() {
    let site = Site::start();
    let gateways = [site.gateway(), site.gateway()];
    for gateway in &gateways {
        gateway.until_ready().await;
    }
    let full = BackendFaults {
        refuse: 1,
        ..BackendFaults::default()
    };
    site.endpoint_faults(MODELS, &full).await;
    // The budget holds this turn and no other beside it.
    let refused = turn("t1", 100).send(gateways[0].front).await;
    assert_eq!(refused.status, 503);
    assert_eq!(site.times_run("t1").await, 0);
    let served = turn("t2", 100).send(gateways[1].front).await;
    assert_eq!(served.status, 200, "{}", served.body);
    // Now 30 are spent, and it holds no more.
    let spent = turn("t3", 100).previous("t2").send(gateways[0].front).await;
    assert_eq!(spent.status, 402);
}

#[actix_rt::test]
async fn what_a_killed_host_had_drawn_is_no_program_s_loss() {
    let site = Site::start();
    let mut first = site.gateway();
    first.until_ready().await;
    let answer = turn("t1", 200).send(first.front).await;
    assert_eq!(answer.status, 200);
    first.kill();
    let second = site.gateway();
    second.until_ready().await;
    // 30 tokens are spent, so that the budget holds one more turn.
    let next = turn("t2", 200).previous("t1");
    let answer = next.send(second.front).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let more = turn("t3", 200).previous("t2").send(second.front).await;
    assert_eq!(
        more.status, 200,
        "60 tokens of 200 are spent: {}",
        more.body
    );
}

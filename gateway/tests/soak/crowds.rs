//! Crowds of clients that send large or incomplete requests beside the callers of the soak.

use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_system_tests::crowd::{Crowd, CrowdRequest, Form};

use crate::fleet::SharedFleet;

/// Largest body of the declared limits.
pub const MAX_BODY_BYTES: usize = 4 << 20;
/// Separates the random numbers of crowds from those of faults.
const CROWD_SEED: u64 = 0x6372_6f77_6473;
/// Forms that a crowd consists of, and the largest number of clients of each.
const FORMS: [(Form, usize); 9] = [
    (Form::Sized, 24),
    (Form::SizedInPieces, 24),
    (Form::LargeChunks, 24),
    (Form::SmallChunks, 24),
    (Form::AnnouncedOverLimit, 24),
    (Form::ChunkedOverLimit, 24),
    (Form::Head, 200),
    (Form::OversizedHead, 100),
    (Form::Idle, 600),
];
/// Paths of requests that may not be repeated, and of turns with and without history.
const PATHS: [&str; 3] = ["/fee/receipt", "/stream/turn", "/unkept/stream/turn"];

/// Plays crowds of random forms against random hosts until `end`. Crowds overlap.
pub async fn play_until(end: Instant, fleet: SharedFleet, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ CROWD_SEED);
    let mut open: Vec<(Instant, Crowd)> = Vec::new();
    while Instant::now() < end {
        let fronts = fleet.borrow().front_addresses();
        if let Some(front) = fronts.choose(&mut random) {
            let forms = FORMS.sample(&mut random, 2);
            let forms = forms.map(|&(form, most)| (form, random.random_range(1..=most)));
            let forms: Vec<_> = forms.collect();
            let path = PATHS.choose(&mut random).unwrap();
            let head =
                format!("POST {path} HTTP/1.1\r\nhost: desk.example\r\nattempt-id: crowd\r\n");
            let request = CrowdRequest {
                head,
                max_body_bytes: MAX_BODY_BYTES,
            };
            let closed = Duration::from_millis(random.random_range(200..2_000));
            let crowd = Crowd::start(*front, &request, &forms);
            open.push((Instant::now() + closed, crowd));
        }
        let pause = random.random_range(100..600);
        actix_rt::time::sleep(Duration::from_millis(pause)).await;
        open.retain(|(close, crowd)| Instant::now() < *close || !crowd.has_sent());
    }
}

//! Places at a tenant's limit for those who wait: what they are told, without a network.

use fieldhook_traffic::tenants::Limit;
use fieldhook_traffic::window::{Bounds, Start, Window};
use quickcheck::{Gen, QuickCheck};

/// What is said of a place holds, whatever was sent before: limits, bursts and pauses of all
/// kinds.
#[test]
fn so_many_may_be_sent_at_the_time_that_a_window_tells() {
    fn holds(steps: Vec<(u8, u16)>, asked: u8) -> bool {
        [(2.0, 2.0), (7.3, 0.0), (60.0, 60.0), (400.0, 100.0)]
            .into_iter()
            .all(|(rate_per_s, burst)| told_truly(Limit { rate_per_s, burst }, &steps, asked))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 23))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, u16)>, u8) -> bool);
}

fn told_truly(limit: Limit, steps: &[(u8, u16)], asked: u8) -> bool {
    [Start::Known, Start::Unknown { since_ms: 0 }]
        .into_iter()
        .all(|start| {
            let mut window = Window::new(Bounds::default(), limit, start);
            let mut now_ms = 0;
            for (sent, pause_ms) in steps {
                now_ms += u64::from(pause_ms % 900);
                let free = window.free(now_ms).max(0.0) as u32;
                window.add(u32::from(*sent).min(free), now_ms);
            }
            // No more than go out at one moment at any time.
            let most = (limit.rate_per_s * 1.25 + limit.burst).max(1.0) as u32;
            let asked = 1 + u32::from(asked) % most;
            let wait_ms = window.wait_ms(asked, now_ms);
            window.free(now_ms + wait_ms) >= f64::from(asked)
        })
}

//! Storage used on the log: each kept turn is stored once.

use crate::support::{Act, Server, World, run};

/// Size of a turn's input in bytes. The test configuration allows 10,000.
const INPUT_BYTES: usize = 9_900;
/// Number of turns, each of its own program. Together they take 4.95 MB.
const TURNS: usize = 500;
/// Capacity of the log: the turns and 3.5 MB for the history of two partitions and appends in
/// progress. If turns were stored twice, they would take 9.9 MB.
const LOG_CAPACITY: usize = TURNS * INPUT_BYTES + 3_500_000;

#[test]
fn kept_turns_are_stored_on_the_log_once() {
    run(async {
        let server = Server::start("s1", Act::Events(vec!["one".to_owned()], None)).await;
        let world = World::new().await;
        world.log.core.borrow_mut().set_storage_limit(LOG_CAPACITY);
        let gateway = world.ready(&[&server]).await;
        let input = "x".repeat(INPUT_BYTES);
        for number in 0..TURNS {
            let fields = format!("Request: t{number}\r\nProgram: p{number}\r\n");
            let reply = gateway.ask("POST", "/chat/1", &fields, &input).await;
            assert!(reply.complete, "turn {number} was not completed");
        }
        let fields = "Request: last\r\nProgram: p0\r\nPrevious: t0\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "A;").await.complete);
        let prompt = format!("{input}one\nA;");
        let is_prompt = |body: &[u8]| body == prompt.as_bytes();
        assert!(
            server
                .seen
                .borrow()
                .iter()
                .any(|seen| is_prompt(&seen.body))
        );
    });
}

//! Storage used on the log: each kept turn is stored once.

use crate::support::{Act, Server, World, run};

/// Maximum size of a record in bytes, as in the platform's log.
const RECORD_BYTES: usize = 256 << 10;

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

/// Guards against a turn that does not fit into a record: its append would be refused again and
/// again, and no turn of its partition would end.
#[test]
fn large_turn_is_kept_and_the_turns_of_its_partition_end() {
    run(async {
        for (input_bytes, events) in [(0, 300), (9_000, 200), (9_000, 900)] {
            let world = World::new().await;
            world.partitions.set(1);
            world.log.core.borrow_mut().set_record_limit(RECORD_BYTES);
            let texts: Vec<String> = (0..events).map(|n| format!("{n:01000}")).collect();
            let server = Server::start("s1", Act::Events(texts.clone(), None)).await;
            let gateway = world.ready(&[&server]).await;
            let large = "x".repeat(input_bytes);
            let fields = "Request: t1\r\nProgram: p\r\n";
            assert!(
                gateway
                    .ask("POST", "/chat/1", fields, &large)
                    .await
                    .complete
            );
            server.set(Act::Events(vec!["one".to_owned()], None));
            let fields = "Request: other\r\nProgram: other\r\n";
            assert!(gateway.ask("POST", "/chat/1", fields, "A;").await.complete);
            // The chain is complete, also for another program, which stores it again.
            let prompt = format!("{large}{}\nB;", texts.join("\n"));
            for (program, turn) in [("p", "t2"), ("another", "t3")] {
                let fields = format!("Request: {turn}\r\nProgram: {program}\r\nPrevious: t1\r\n");
                assert!(gateway.ask("POST", "/chat/1", &fields, "B;").await.complete);
                let seen = server.seen.borrow();
                let last = seen.last().expect("a request");
                assert!(last.body == prompt.as_bytes(), "{program}: another prompt");
            }
            assert!(gateway.recording.largest() <= RECORD_BYTES);
        }
    });
}

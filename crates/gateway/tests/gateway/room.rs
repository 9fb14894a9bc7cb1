//! Room on the log: what is kept takes it once, whatever was appended.

use crate::support::{Act, Server, World, run};

/// Bytes of a turn's input; the tests' configuration takes 10,000.
const INPUT: usize = 9_900;
/// Turns, each of a program of its own: 4.95 MB are kept in the end.
const TURNS: usize = 500;
/// The turns and 3.5 MB: history of two partitions, and what is on its way. Counted twice, the
/// turns would take 9.9 MB.
const ROOM: usize = TURNS * INPUT + 3_500_000;

#[test]
fn turns_that_are_kept_take_their_room_on_the_log_once() {
    run(async {
        let server = Server::start("s1", Act::Events(vec!["one".to_owned()], None)).await;
        let world = World::new().await;
        world.log.core.borrow_mut().set_storage_limit(ROOM);
        let gateway = world.ready(&[&server]).await;
        let input = "x".repeat(INPUT);
        for number in 0..TURNS {
            let fields = format!("Request: t{number}\r\nProgram: p{number}\r\n");
            let reply = gateway.ask("POST", "/chat/1", &fields, &input).await;
            assert!(reply.whole, "turn {number} was not kept");
        }
        let fields = "Request: last\r\nProgram: p0\r\nPrevious: t0\r\n";
        assert!(gateway.ask("POST", "/chat/1", fields, "A;").await.whole);
        let prompt = format!("{input}one\nA;");
        let is_whole = |body: &[u8]| body == prompt.as_bytes();
        assert!(server.seen.borrow().iter().any(|seen| is_whole(&seen.body)));
    });
}

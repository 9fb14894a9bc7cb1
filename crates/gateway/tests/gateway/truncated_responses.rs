//! Servers that stop within the head of a response and close the connection.

use crate::support::{Act, Gateway, Reply, Server, World, response_head, run};
use bytes::BytesMut;
use fieldhook_gateway::http::body::{BodyDecoder, Framing, InvalidFraming, Piece};
use futures_util::future::join_all;

const ROUTES: [&str; 4] = ["safe", "unsafe", "resume", "chat"];
/// What follows the part of the head: nothing, line endings, and the beginning of a body.
const ENDINGS: [&str; 7] = [
    "",
    "\r\n",
    "\n",
    "\r\n\r\n",
    "\n\n",
    "\r\n\r\nwho",
    "\n\nwho",
];
/// Number of requests under way at the same time.
const CONCURRENCY: usize = 32;

async fn ask(gateway: &Gateway, route: &str, length: usize) -> Option<Reply> {
    let mut client = gateway.client().await;
    let path = format!("/{route}/{length}");
    let fields = "Request: r\r\nProgram: p\r\nBudget: 9000\r\nMost: 10\r\n";
    client.send("POST", &path, fields, "x").await;
    client.reply_unless_closed().await
}

/// Returns for each part of the head whose response reached a client as complete what that was.
async fn taken_for_complete(act: Act) -> Vec<String> {
    let Act::Truncated(announces_close, _) = act else {
        panic!("not a truncated response");
    };
    let server = Server::start("s1", act.clone()).await;
    let world = World::new().await;
    let gateway = world.ready(&[&server]).await;
    let longest = response_head("r", announces_close).len();
    let lengths: Vec<usize> = (0..=longest).collect();
    let mut complete = Vec::new();
    for lengths in lengths.chunks(CONCURRENCY) {
        for route in ROUTES {
            let asked = lengths.iter().map(|length| ask(&gateway, route, *length));
            for (length, reply) in lengths.iter().zip(join_all(asked).await) {
                let Some(reply) = reply else { continue };
                // What follows an announced close may be a whole body.
                let may_be_whole = announces_close && !reply.body.is_empty();
                if reply.head.status == 200 && reply.complete && !may_be_whole {
                    complete.push(format!("{act:?} {route} {length}: {:?}", reply.text()));
                }
            }
        }
    }
    assert!(server.count() >= longest, "most requests reach the server");
    complete
}

/// Guards against a response whose server stopped within its head, and that reaches the client as
/// complete.
#[test]
fn response_that_stops_within_its_head_is_not_complete() {
    run(async {
        let acts = ENDINGS
            .into_iter()
            .flat_map(|ending| [false, true].map(|closes| Act::Truncated(closes, ending)));
        let complete = join_all(acts.map(taken_for_complete)).await.concat();
        assert!(complete.is_empty(), "{complete:#?}");
    });
}

/// Guards against a chunked body that stops, and whose empty line is taken for the last chunk.
#[test]
fn chunk_size_without_digits_is_malformed() {
    for input in [
        "\r\n\r\n",
        "3\r\nwho\r\n\r\n\r\n",
        ";a=b\r\n\r\n",
        " \r\n\r\n",
    ] {
        let mut buffer = BytesMut::from(input);
        let mut decoder = BodyDecoder::new(Framing::Chunked);
        let end = loop {
            match decoder.next(&mut buffer) {
                Ok(Piece::Data(_)) => {}
                end => break end,
            }
        };
        assert_eq!(end, Err(InvalidFraming), "{input:?}");
    }
}

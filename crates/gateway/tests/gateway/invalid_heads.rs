//! Responses whose head is not valid.

use crate::support::{Act, Server, World, run};
use bytes::BytesMut;
use fieldhook_gateway::http::head::{HeadError, ResponseHead, ResponseHeadDecoder};

fn decode(head: &[u8]) -> Result<Option<ResponseHead>, HeadError> {
    ResponseHeadDecoder::new(64 << 10, "GET").next(&mut BytesMut::from(head))
}

/// Guards against a response with an invalid status that is skipped or passed on.
#[test]
fn statuses_other_than_those_of_http_are_malformed() {
    for status in 0..1_000 {
        let head = format!("HTTP/1.1 {status:03} Fine\r\nContent-Length: 0\r\n\r\n");
        let is_final = (200..600).contains(&status);
        let decoded = decode(head.as_bytes());
        assert_eq!(decoded.is_ok(), is_final, "{status}");
    }
    for status in ["", "20", "2000", "-20", "2x0", " 200"] {
        let head = format!("HTTP/1.1 {status} Fine\r\nContent-Length: 0\r\n\r\n");
        assert!(decode(head.as_bytes()).is_err(), "{status:?}");
    }
}

/// Guards against the body of an interim response that is taken for the next head.
#[test]
fn interim_responses_have_no_body_and_switch_no_protocol() {
    let last = "HTTP/1.1 200 Fine\r\nContent-Length: 0\r\n\r\n";
    for status in [100, 102, 103, 199] {
        let interim = format!("HTTP/1.1 {status} Wait\r\nLink: x\r\n\r\n{last}");
        let decoded = decode(interim.as_bytes()).expect("valid").expect("whole");
        assert_eq!(decoded.status, 200, "{status}");
        for field in ["Content-Length: 4", "Transfer-Encoding: chunked"] {
            let interim = format!("HTTP/1.1 {status} Wait\r\n{field}\r\n\r\n{last}");
            assert!(decode(interim.as_bytes()).is_err(), "{status} {field}");
        }
    }
    let switched = format!("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n{last}");
    assert!(decode(switched.as_bytes()).is_err());
}

/// Guards against what follows an invalid head and reaches the client as the response.
#[test]
fn response_with_an_invalid_head_does_not_reach_the_client() {
    run(async {
        for first in [
            "HTTP/1.1 000 Fine\r\nRequest: {id}\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 099 Fine\r\n\r\n",
            "HTTP/1.1 101 Fine\r\n\r\n",
            "HTTP/1.1 600 Fine\r\nRequest: {id}\r\nSigned: yes\r\nContent-Length: 4\r\n\r\nwhat",
        ] {
            let server = Server::start("s1", Act::Before(first, "mine".to_owned())).await;
            let world = World::new().await;
            let gateway = world.ready(&[&server]).await;
            for path in ["/unsafe/1", "/chat/1"] {
                let reply = gateway.ask("POST", path, "Request: r1\r\n", "x").await;
                assert_eq!(reply.head.status, 502, "{path} {first:?}");
            }
        }
    });
}

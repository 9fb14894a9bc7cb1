//! Responses whose head is not valid.

use crate::support::{Act, Server, World, run};
use bytes::BytesMut;
use fieldhook_gateway::http::body::{BodyDecoder, Framing, InvalidFraming, Piece};
use fieldhook_gateway::http::head::{HeadError, ResponseHead, ResponseHeadDecoder};

/// Positions in a name at which an invalid byte is put. Parsers compare several bytes at once.
const POSITIONS: [usize; 8] = [0, 1, 7, 8, 15, 16, 31, 39];
const NAME: &str = "A-Field-Name-That-Is-Longer-Than-32-Byte";

fn decode(head: &[u8]) -> Result<Option<ResponseHead>, HeadError> {
    ResponseHeadDecoder::new(64 << 10, "GET").next(&mut BytesMut::from(head))
}

/// Bytes that are not allowed in a token.
fn invalid_name_bytes() -> impl Iterator<Item = u8> {
    let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    (0..=u8::MAX).filter(move |byte| !is_valid(*byte) && *byte != b':')
}

/// Bytes that are not allowed in a value or in a reason phrase.
fn invalid_value_bytes() -> impl Iterator<Item = u8> {
    (0..=u8::MAX).filter(|byte| byte.is_ascii_control() && !matches!(byte, b'\t' | b'\n'))
}

/// A head with this line among its fields.
fn head_with(line: &[u8]) -> Vec<u8> {
    let before = b"HTTP/1.1 200 Fine\r\nContent-Length: 4\r\n".as_slice();
    [before, line, b"\r\nAnother: field\r\n\r\n"].concat()
}

/// Guards against a field that is passed on with another name, or that hides the length of the body.
#[test]
fn field_names_with_invalid_bytes_are_malformed() {
    assert!(matches!(
        decode(&head_with(format!("{NAME}: x").as_bytes())),
        Ok(Some(_))
    ));
    for byte in invalid_name_bytes() {
        for position in POSITIONS {
            let mut line = format!("{NAME}: x").into_bytes();
            line[position] = byte;
            assert!(decode(&head_with(&line)).is_err(), "{byte} at {position}");
            line[position] = NAME.as_bytes()[position];
            line.insert(NAME.len(), byte);
            assert!(decode(&head_with(&line)).is_err(), "{byte} at the end");
        }
    }
    for line in [": x", "no colon", " Folded: x", "Name : x"] {
        assert!(decode(&head_with(line.as_bytes())).is_err(), "{line:?}");
    }
}

/// Guards against control bytes that end a line for the client and not for the gateway.
#[test]
fn values_and_reasons_with_control_bytes_are_malformed() {
    for byte in invalid_value_bytes() {
        for position in POSITIONS {
            let mut line = format!("Field: {NAME}").into_bytes();
            line[position + "Field: ".len()] = byte;
            assert!(decode(&head_with(&line)).is_err(), "{byte} at {position}");
            let mut reason = NAME.as_bytes().to_vec();
            reason[position] = byte;
            let head = [
                b"HTTP/1.1 200 ",
                reason.as_slice(),
                b"\r\nContent-Length: 0\r\n\r\n",
            ];
            assert!(decode(&head.concat()).is_err(), "{byte} at {position}");
        }
    }
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

/// Guards against bytes after the last chunk that are no trailer, where the body may not be whole.
#[test]
fn trailer_lines_that_are_no_fields_are_malformed() {
    let decode = |trailer: &str| {
        let mut buffer = BytesMut::from(format!("0\r\n{trailer}\r\n\r\n").as_bytes());
        BodyDecoder::new(Framing::Chunked).next(&mut buffer)
    };
    assert_eq!(decode("Name: value\twith tab"), Ok(Piece::End));
    for trailer in [
        "who",
        ": x",
        "Na me: x",
        "Name : x",
        " Name: x",
        "Name: \u{1}",
        "N\u{0}: x",
    ] {
        assert_eq!(decode(trailer), Err(InvalidFraming), "{trailer:?}");
    }
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
            "HTTP/1.1 200 Fine\r\nRequest: {id}\r\nSigned: yes\r\nA b: x\r\nContent-Length: 4\r\n\r\nwhat",
            "HTTP/1.1 200 Fine\r\nRequest: {id}\r\nSigned: yes\r\nA\u{1}: x\r\nContent-Length: 4\r\n\r\nwhat",
            "HTTP/1.1 200 Fine\r\nRequest: {id}\r\nSigned: yes\r\nContent-Length : 4\r\n\r\nwhat",
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

//! A turn that its client resumes at another gateway, on a route that keeps what was said.

use crate::client::Client;
use crate::cluster::{Cluster, Record, Route, Trouble, data_of};
use crate::large_turn::next_id;
use std::time::Duration;

const EVENTS: u64 = 40;
const SIZE: usize = 60;
const PROGRAMS: usize = 6;
/// Events that the client has when its gateway is lost.
const SEEN: usize = 12;

pub fn run(record: Record) -> bool {
    let routes = [Route {
        name: "chat",
        kind: "streaming",
        service: "engines",
        timeout_ms: 4_000,
        max_attempts: 1,
        extra: ",\"retain-context\":true,\"retention-s\":60,\"resumable\":true,\"target-gap-ms\":200",
    }];
    let cluster = Cluster::start(record.clone(), &routes, &[Trouble::None; 4]);
    let mut wrong = 0;
    for number in 0..PROGRAMS {
        let program = format!("p{}", next_id());
        let fields = |id: &str, extra: &[(&'static str, String)]| {
            let mut fields = vec![
                ("X-Request-Id", id.to_owned()),
                ("X-Program-Id", program.clone()),
                ("X-Session-Id", format!("s-{program}")),
                ("X-Program-Deadline-Ms", "60000".to_owned()),
                ("X-Model", "m".to_owned()),
                ("X-Token-Usage", "300,640".to_owned()),
                ("X-Prompt-Prefix", format!("5c1e07a2:512,{id}:100")),
                ("X-Deadline-Ms", "4000".to_owned()),
                ("X-Token-Budget", "100000".to_owned()),
            ];
            fields.extend_from_slice(extra);
            fields
        };
        let limit = Duration::from_secs(5);
        let first = next_id();
        let input = format!("first question of {program};out={EVENTS}x{SIZE};");
        let seen = if crate::has_trouble() { SEEN } else { usize::MAX };
        // The client loses its connection after some events.
        let mut answer = Client::new(cluster.address(0)).send("/chat/turn", &fields(&first, &[]), input.as_bytes(), limit, seen);
        record.write(&format!("turn {first}: status={} whole={} events={}", answer.status, answer.whole, answer.events.len()));
        let mut last_id = first.clone();
        let mut events = answer.events.clone();
        if !answer.whole {
            std::thread::sleep(Duration::from_millis(150));
            let second = next_id();
            let last = events.last().and_then(|(id, _)| *id).unwrap_or(0);
            let extra = [("Last-Event-Id", last.to_string()), ("Resumes", first.clone())];
            answer = Client::new(cluster.address(1 + number)).send("/chat/turn", &fields(&second, &extra), input.as_bytes(), limit, usize::MAX);
            record.write(&format!("turn {second} resumes it after {last}: status={} whole={} events={}", answer.status, answer.whole, answer.events.len()));
            events.extend(answer.events.iter().cloned());
            last_id = second;
        }
        if !answer.whole || answer.status != 200 {
            continue;
        }
        let sound = events.iter().zip(1..).all(|((id, data), n)| *id == Some(n) && *data == data_of(n, SIZE));
        let next = next_id();
        let question = "second question;out=8x60;";
        let extra = [("X-Previous-Turn", last_id)];
        let answer = Client::new(cluster.address(2)).send("/chat/turn", &fields(&next, &extra), question.as_bytes(), limit, usize::MAX);
        let mut expected = input.into_bytes();
        events.iter().for_each(|(_, data)| expected.extend_from_slice(format!("{data}\n").as_bytes()));
        expected.extend_from_slice(question.as_bytes());
        let got = cluster.body_of(&next);
        let is_right = got.as_ref() == Some(&expected);
        record.write(&format!(
            "turn {next} goes on: status={}; client's stream sound: {sound}; its engine got {} bytes, {} are due; right: {is_right}",
            answer.status, got.as_ref().map_or(0, Vec::len), expected.len()
        ));
        wrong += u32::from(got.is_some() && !is_right);
    }
    cluster.all_run();
    cluster.end();
    let summary = format!("{wrong} of {PROGRAMS} turns reached an engine with another chain than what was said");
    record.write(&summary);
    println!("{summary}");
    wrong > 0
}

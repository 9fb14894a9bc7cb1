//! Servers hang in the middle of large answers.

use crate::Verdict;
use crate::cluster::{Entry, Folder, Gateway, HOST, Random, Record, keep_entry, new_id, publish};
use crate::http::{Conn, answer, request};
use crate::store::Store;
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 12;
/// One of them hangs in this share of its answers.
const SERVERS: usize = 7;
const HANGS: f64 = 0.4;
const ANSWER: usize = 600_000;
/// More than a gateway buffers of an answer (256 KiB).
const BEFORE_HANG: usize = 400_000;
const CLIENTS: usize = 60;
const REQUESTS: usize = 30;
const TIMEOUT_MS: u64 = 1_200;

fn serve(mut conn: Conn, hangs: bool, mut random: Random) {
    while let Ok(request) = conn.request() {
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let headers = [
            ("X-Request-Id", &*id),
            ("X-Response-Signature", "s"),
            ("Keep-Alive", "timeout=5"),
        ];
        let bytes = answer("200 OK", &headers, &vec![b'z'; ANSWER]);
        if hangs && random.chance(HANGS) {
            conn.send(&bytes[..BEFORE_HANG]);
            // Until the gateway closes the connection.
            let _ = conn.fill(Some(Instant::now() + Duration::from_secs(20)));
            return;
        }
        if !conn.send(&bytes) {
            return;
        }
    }
}

pub fn run(root: &Path, folder: &Path, trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = Folder::new()?;
    let store = Store::start()?;
    publish(
        &store,
        1,
        &format!(
            "[{{\"name\":\"check\",\"host\":\"{HOST}\",\"path-prefix\":\"/pule252/\",\"kind\":\"safe\",\
            \"timeout-ms\":{TIMEOUT_MS},\"target-latency-ms\":150,\"priority\":2,\"service\":\"ledger-api\",\"max-attempts\":2}}]"
        ),
        "[{\"name\":\"ledger-api\",\"max-connections\":110}]",
    );
    for index in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let id = format!("i-{}", new_id());
        keep_entry(
            &store,
            Entry {
                id,
                service: "ledger-api",
                address: listener.local_addr()?,
                slots: 6,
            },
        );
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                thread::spawn(move || {
                    serve(
                        Conn::new(stream),
                        trouble && index == 0,
                        Random(number as u64),
                    )
                });
            }
        });
    }
    let mut gateways = Vec::new();
    for index in 0..GATEWAYS {
        let mut gateway = Gateway::new(index, &temporary.0, store.address)?;
        gateway.start(root)?;
        gateways.push(gateway);
    }
    if !gateways
        .iter()
        .all(|gateway| gateway.wait_ready(Duration::from_secs(10)))
    {
        return Ok(Verdict::NotRun("a gateway is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(1));
    let (mut late, mut over, mut all) = (0, 0, 0);
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                let (record, address) = (record.clone(), gateways[number % GATEWAYS].clients);
                scope.spawn(move || {
                    let mut times = Vec::new();
                    for _ in 0..REQUESTS {
                        let id = new_id();
                        let Ok(mut conn) = Conn::connect(address) else {
                            continue;
                        };
                        let headers = [
                            ("Host", HOST),
                            ("X-Request-Id", &*id),
                            ("X-Deadline-Ms", "4000"),
                        ];
                        conn.send(&request("GET", "/pule252/2f", &headers, b""));
                        let sent = Instant::now();
                        let until = Some(sent + Duration::from_secs(4));
                        let got = conn
                            .head(until)
                            .and_then(|mut head| conn.body(&mut head, true, until).map(|()| head));
                        let ms = sent.elapsed().as_millis() as u64;
                        let outcome = got.map(|head| head.status());
                        record.line(&format!("request {id}: {outcome:?} after {ms} ms"));
                        times.push(ms);
                    }
                    times
                })
            })
            .collect();
        for times in clients.into_iter().filter_map(|client| client.join().ok()) {
            all += times.len();
            over += times.iter().filter(|ms| **ms > TIMEOUT_MS).count();
            late += times.iter().filter(|ms| **ms > TIMEOUT_MS + 500).count();
        }
    });
    record.say(&format!(
        "{all} requests; {over} outlasted timeout-ms {TIMEOUT_MS}, and {late} of these had no final answer 0.5 s after it"
    ));
    Ok(if late >= 8 && late * 4 > over {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

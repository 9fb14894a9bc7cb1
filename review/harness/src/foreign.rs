//! Another writer overwrites a server's entry with one that lacks fields.

use crate::Verdict;
use crate::cluster::{Entry, Folder, Gateway, HOST, Record, keep_entry, new_id, publish};
use crate::http::{Conn, answer, request};
use crate::store::Store;
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Servers of `ledger-api`; one more belongs to `agent-llm`.
const SERVERS: usize = 3;
const CLIENTS: usize = 8;
const LENGTH: Duration = Duration::from_secs(6);
const FOREIGN_AT: Duration = Duration::from_secs(2);

/// A server that runs whatever names it in `X-Expect-Instance`.
fn serve(mut conn: Conn, id: &str, is_other: bool, wrong: &AtomicUsize, record: &Record) {
    while let Ok(request) = conn.request() {
        let request_id = request.header("x-request-id").unwrap_or("").to_owned();
        let bytes = if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            answer("421 Misdirected Request", &[("X-Instance-Id", id)], b"")
        } else {
            if is_other {
                wrong.fetch_add(1, Ordering::Relaxed);
                record.line(&format!(
                    "ROUTE: {id} of agent-llm runs {} ({request_id})",
                    request.target()
                ));
            }
            thread::sleep(Duration::from_millis(5));
            answer(
                "200 OK",
                &[
                    ("X-Request-Id", &request_id),
                    ("X-Response-Signature", "s"),
                    ("Keep-Alive", "timeout=5"),
                ],
                b"done",
            )
        };
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
            "[{{\"name\":\"notify\",\"host\":\"{HOST}\",\"path-prefix\":\"/puxa403/\",\"kind\":\"unsafe\",\
            \"timeout-ms\":2000,\"target-latency-ms\":300,\"priority\":2,\"service\":\"ledger-api\",\"max-attempts\":1}}]"
        ),
        "[{\"name\":\"ledger-api\",\"max-connections\":110},{\"name\":\"agent-llm\",\"max-connections\":110}]",
    );
    let wrong = Arc::new(AtomicUsize::new(0));
    let mut other = None;
    for index in 0..=SERVERS {
        let is_other = index == SERVERS;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (id, address) = (format!("i-{}", new_id()), listener.local_addr()?);
        let service = if is_other { "agent-llm" } else { "ledger-api" };
        keep_entry(
            &store,
            Entry {
                id: id.clone(),
                service,
                address,
                slots: 6,
            },
        );
        other = Some((id.clone(), address));
        let (wrong, record) = (wrong.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, wrong, record) = (id.clone(), wrong.clone(), record.clone());
                thread::spawn(move || serve(Conn::new(stream), &id, is_other, &wrong, &record));
            }
        });
    }
    let mut gateway = Gateway::new(0, &temporary.0, store.address)?;
    gateway.start(root)?;
    if !gateway.wait_ready(Duration::from_secs(10)) {
        return Ok(Verdict::NotRun("the gateway is not ready".to_owned()));
    }
    thread::sleep(Duration::from_secs(1));
    let served = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                let started = Instant::now();
                while started.elapsed() < LENGTH {
                    let id = new_id();
                    let Ok(mut conn) = Conn::connect(gateway.clients) else {
                        continue;
                    };
                    let headers = [
                        ("Host", HOST),
                        ("X-Request-Id", &*id),
                        ("X-Deadline-Ms", "2000"),
                    ];
                    conn.send(&request("POST", "/puxa403/2f", &headers, b"notify"));
                    let until = Some(Instant::now() + Duration::from_secs(3));
                    let got = conn
                        .head(until)
                        .and_then(|mut head| conn.body(&mut head, true, until).map(|()| head));
                    served.fetch_add(
                        usize::from(got.is_ok_and(|head| head.status() == 200)),
                        Ordering::Relaxed,
                    );
                }
            });
        }
        thread::sleep(FOREIGN_AT);
        if let Some((id, address)) = other.filter(|_| trouble) {
            let entry = format!(
                "{{\"service\":\"ledger-api\",\"address\":\"{address}\",\"zone\":\"cyberjaya-a\",\"state\":\"ready\"}}"
            );
            record.line(&format!("another writer writes servers/{id}: {entry}"));
            store.put("keyed.servers", &id, &entry);
        }
    });
    let wrong = wrong.load(Ordering::Relaxed);
    record.say(&format!(
        "{} answers 200; {wrong} requests of ledger-api ran at a server of agent-llm",
        served.load(Ordering::Relaxed)
    ));
    Ok(if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

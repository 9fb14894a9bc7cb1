//! Servers send one surplus answer late, in the place of the next.

use crate::Verdict;
use crate::cluster::{Entry, Folder, Gateway, HOST, Random, Record, keep_entry, new_id, publish};
use crate::http::{Conn, answer, request};
use crate::store::Store;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 2;
const SLOTS: usize = 2;
const QUEUE: usize = 2;
const WORK: Duration = Duration::from_millis(10);
const GATEWAYS: usize = 12;
const CLIENTS: usize = 48;
/// Clients rest up to this long between two requests.
const MOST_REST_MS: u64 = 200;

/// Share of the answers that are followed by a surplus one.
const SURPLUS: f64 = 0.03;
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const CALM_TIME: Duration = Duration::from_secs(2);
const ROUNDS: u32 = 6;

#[derive(Default)]
struct Places {
    running: usize,
    waiting: usize,
}

struct Server {
    id: String,
    spoils: bool,
    places: Mutex<Places>,
    freed: Condvar,
}

struct World {
    record: Record,
    trouble: AtomicBool,
    stop: AtomicBool,
    surplus: AtomicU64,
    /// Executions by request id: the servers that ran it.
    ran: Mutex<HashMap<String, Vec<String>>>,
    /// What clients got, by request id.
    answered: Mutex<HashMap<String, u16>>,
}

fn serve(mut conn: Conn, server: &Server, world: &World, mut random: Random) {
    let mut surplus: Option<Vec<u8>> = None;
    while let Ok(request) = conn.request() {
        if request.target() == "/health" {
            if !conn.send(&answer("200 OK", &[("X-Instance-Id", &server.id)], b"")) {
                return;
            }
            continue;
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        // The surplus answer arrives late, in the place of the next.
        if let Some(bytes) = surplus.take() {
            world.surplus.fetch_add(1, Ordering::Relaxed);
            let first = String::from_utf8_lossy(&bytes)
                .lines()
                .next()
                .unwrap_or("")
                .to_owned();
            let of = String::from_utf8_lossy(&bytes)
                .lines()
                .find_map(|line| line.strip_prefix("X-Request-Id: ").map(str::to_owned));
            world.record.line(&format!(
                "{} sends a surplus answer ({first}) of request {} before that of {id}",
                server.id,
                of.unwrap_or_default()
            ));
            if !conn.send(&bytes) {
                return;
            }
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != server.id)
        {
            conn.send(&answer(
                "421 Misdirected Request",
                &[("X-Instance-Id", &server.id)],
                b"",
            ));
            continue;
        }
        let admitted = {
            let mut places = server.places.lock().unwrap();
            if places.running < SLOTS {
                places.running += 1;
                true
            } else if places.waiting < QUEUE {
                places.waiting += 1;
                while places.running >= SLOTS {
                    places = server.freed.wait(places).unwrap();
                }
                places.waiting -= 1;
                places.running += 1;
                true
            } else {
                false
            }
        };
        let bytes = if admitted {
            world
                .record
                .line(&format!("{} runs request {id}", server.id));
            world
                .ran
                .lock()
                .unwrap()
                .entry(id.clone())
                .or_default()
                .push(server.id.clone());
            thread::sleep(WORK);
            server.places.lock().unwrap().running -= 1;
            server.freed.notify_one();
            answer(
                "200 OK",
                &[
                    ("X-Request-Id", &id),
                    ("X-Response-Signature", &format!("s.{id}")),
                    ("Keep-Alive", "timeout=5"),
                ],
                format!("{{\"charged\":\"{id}\"}}").as_bytes(),
            )
        } else {
            world.record.line(&format!(
                "{} is full and does not run request {id}",
                server.id
            ));
            answer(
                "503 Service Unavailable",
                &[
                    ("X-Request-Id", &id),
                    ("X-Not-Executed", "1"),
                    ("Keep-Alive", "timeout=5"),
                ],
                b"",
            )
        };
        if !conn.send(&bytes) {
            return;
        }
        if server.spoils && world.trouble.load(Ordering::Relaxed) && random.chance(SURPLUS) {
            surplus = Some(bytes);
        }
    }
}

fn client(gateway: SocketAddr, world: &World, mut random: Random) {
    let mut conn: Option<Conn> = None;
    while !world.stop.load(Ordering::Relaxed) {
        let id = new_id();
        let Some(mut open) = conn.take().or_else(|| Conn::connect(gateway).ok()) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let bytes = request(
            "POST",
            "/puxa403/2f",
            &[
                ("Host", HOST),
                ("X-Request-Id", &id),
                ("X-Deadline-Ms", "3000"),
            ],
            b"charge the card once",
        );
        world.record.line(&format!("client sends request {id}"));
        if !open.send(&bytes) {
            continue;
        }
        let until = Some(Instant::now() + Duration::from_millis(3_500));
        let got = open
            .head(until)
            .and_then(|mut head| open.body(&mut head, true, until).map(|()| head));
        match got {
            Ok(head) => {
                world
                    .record
                    .line(&format!("client gets {} for request {id}", head.status()));
                world.answered.lock().unwrap().insert(id, head.status());
                let pause = head
                    .header("retry-after")
                    .and_then(|text| text.parse::<f64>().ok())
                    .unwrap_or(0.0);
                let think = random.next() % MOST_REST_MS;
                thread::sleep(
                    Duration::from_secs_f64(pause.min(1.0)) + Duration::from_millis(think),
                );
                if !head
                    .header("connection")
                    .is_some_and(|text| text.eq_ignore_ascii_case("close"))
                {
                    conn = Some(open);
                }
            }
            Err(end) => world.record.line(&format!(
                "client gets no whole answer for request {id}: {end:?}"
            )),
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
            \"timeout-ms\":3000,\"target-latency-ms\":300,\"priority\":2,\"service\":\"ledger-api\",\"max-attempts\":1}}]"
        ),
        "[{\"name\":\"ledger-api\",\"max-connections\":110,\"health-path\":\"/health\"}]",
    );
    let world = Arc::new(World {
        record: record.clone(),
        trouble: AtomicBool::new(false),
        stop: AtomicBool::new(false),
        surplus: AtomicU64::new(0),
        ran: Mutex::default(),
        answered: Mutex::default(),
    });
    for index in 0..SERVERS {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Arc::new(Server {
            id: format!("i-{}", new_id()),
            spoils: index % 2 == 0,
            places: Mutex::default(),
            freed: Condvar::new(),
        });
        let entry = Entry {
            id: server.id.clone(),
            service: "ledger-api",
            address: listener.local_addr()?,
            slots: SLOTS as u32,
        };
        keep_entry(&store, entry);
        let world = world.clone();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let (server, world) = (server.clone(), world.clone());
                let random =
                    Random((index as u64) << 32 ^ number as u64 ^ crate::cluster::unix_ms() << 16);
                thread::spawn(move || serve(Conn::new(stream), &server, &world, random));
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
    let clients: Vec<_> = (0..CLIENTS as u64)
        .map(|number| {
            let (world, address) = (
                world.clone(),
                gateways[number as usize % gateways.len()].clients,
            );
            thread::spawn(move || client(address, &world, Random(number)))
        })
        .collect();
    for _ in 0..ROUNDS {
        thread::sleep(CALM_TIME);
        world.trouble.store(trouble, Ordering::Relaxed);
        thread::sleep(TROUBLE_TIME);
        world.trouble.store(false, Ordering::Relaxed);
    }
    world.stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_millis(500));
    let running = gateways.iter_mut().all(Gateway::runs);
    let (ran, answered) = (world.ran.lock().unwrap(), world.answered.lock().unwrap());
    let twice: Vec<_> = ran
        .iter()
        .filter(|(_, servers)| servers.len() > 1)
        .collect();
    let refused: Vec<_> = ran
        .keys()
        .filter(|id| matches!(answered.get(*id), Some(429 | 503 | 408 | 421)))
        .collect();
    for (id, servers) in &twice {
        record.line(&format!(
            "TWICE: request {id} ran {} times, at {}",
            servers.len(),
            servers.join(", ")
        ));
    }
    for id in &refused {
        record.line(&format!(
            "REFUSED: request {id} ran and was answered {}",
            answered[*id]
        ));
    }
    let whole = answered.values().filter(|status| **status == 200).count();
    record.say(&format!(
        "{} requests answered, {whole} of them 200; {} ran; {} surplus answers; {} ran twice or more; {} ran and were refused; all gateways run: {running}",
        answered.len(), ran.len(), world.surplus.load(Ordering::Relaxed), twice.len(), refused.len()
    ));
    if whole == 0 {
        return Ok(Verdict::NotRun("no request was served".to_owned()));
    }
    Ok(match twice.is_empty() && refused.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

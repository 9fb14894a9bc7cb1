//! Gateways as separate processes, with settings like those of a small deployment, and the
//! operator's and servers' records at the store.

use crate::http::{Conn, request};
use crate::store::Store;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const CLIENT_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
const PEER_PORT: u16 = 7_380;
/// The project's metrics port (deploy/system.toml).
const METRICS_PORT: u16 = 9_464;
pub const HOST: &str = "ficu95.example";

/// Deterministic random numbers.
#[derive(Clone)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut value = self.0;
        value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
        value ^ value >> 31
    }

    pub fn chance(&mut self, share: f64) -> bool {
        ((self.next() >> 11) as f64) < share * (1u64 << 53) as f64
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of 16 hexadecimal digits.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!(
        "{:016x}",
        Random(u64::from(std::process::id()) << 32 ^ number).next()
    )
}

/// Lines of record.txt, with milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new((
            Instant::now(),
            Mutex::new(File::create(path)?),
        ))))
    }

    pub fn line(&self, text: &str) {
        let ms = self.0.0.elapsed().as_secs_f64() * 1_000.0;
        let _ = writeln!(self.0.1.lock().unwrap(), "{ms:10.1} {text}");
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> std::io::Result<Self> {
        let path =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub struct Gateway {
    pub clients: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Chooses a loopback address of its own, whose ports are free, and writes the settings.
    pub fn new(index: usize, folder: &Path, store: SocketAddr) -> std::io::Result<Self> {
        let mut random = Random(
            Random(Random(unix_ms()).next() ^ u64::from(std::process::id())).next() ^ index as u64,
        );
        let host = loop {
            let number = random.next();
            let host = format!(
                "127.{}.{}.{}",
                30 + number % 200,
                1 + (number >> 16) % 250,
                1 + (number >> 32) % 250
            );
            let ports = [CLIENT_PORT, READY_PORT, PEER_PORT, METRICS_PORT];
            if ports
                .iter()
                .all(|port| TcpListener::bind(format!("{host}:{port}")).is_ok())
            {
                break host;
            }
        };
        let name = format!("frontend-cyberjaya-a-{}", index + 1);
        let settings = folder.join(format!("{name}.conf"));
        let text = format!(
            "node-name={name}\nrole=frontend\nmachine-class=frontend\nserves=frontend\nip={host}\n\
            zone=cyberjaya-a\nregion=klang-valley\nzones.cyberjaya-a=klang-valley\n\
            listen.frontend={host}:{CLIENT_PORT}\nlisten.readiness={host}:{READY_PORT}\n\
            internal-ports={PEER_PORT},7395\nbootstrap=true\nlimits.cpu-share=0.5\nlimits.cores=1\n\
            limits.memory-mb=230\nlimits.max-open-files=8200\nlimits.link-mbps=1000.0\nlimits.disk-mb=0\n\
            discovery=platform\nentry=vip\nheartbeat-ms=1200\n\
            contracts=base,drain,config,cost,recover,agent,stream,engine,platform\n\
            bounds.seed-lag-s=3\nbounds.reuse-after-s=2\nbounds.contact-ms=3000\nbounds.ack-ms=4000\n\
            bounds.catch-up-s=4.3\nbounds.drain-ms=2000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\n\
            bounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\nbounds.max-stretch-ms=5000\n\
            bounds.recovery-s=12\nbounds.pass-ms=120\nbounds.retry-after-s=0\nbounds.finish-s=10\n\
            bounds.settle-ms=1000\nplatform.address={store}\nplatform.form=log\n\
            platform.writes-per-s=800\nplatform.reads-per-s=2000\nplatform.parts=8\n\
            platform.append_ms=4.0\nplatform.part_mb_per_s=20.0\nplatform.read_mb_per_s=80.0\n\
            platform.record_bytes=262144\nplatform.call_bytes=2097152\nplatform.retention-s=300\n\
            platform.part_mb=200\nplatform.ttl-min-ms=1000\n"
        );
        std::fs::write(&settings, text)?;
        let address = |port: u16| {
            format!("{host}:{port}")
                .parse()
                .map_err(std::io::Error::other)
        };
        Ok(Self {
            clients: address(CLIENT_PORT)?,
            ready: address(READY_PORT)?,
            log: folder.join(format!("{name}.log")),
            settings,
            child: None,
        })
    }

    /// Starts the process as deploy/system.toml does.
    pub fn start(&mut self, root: &Path) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(root.join("target/release/fieldhook-frontend"))
            .current_dir(root)
            .env("FIELDHOOK_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        // run.sh ends what is listed here, should this process not get to it.
        if let Ok(mut pids) = File::options()
            .create(true)
            .append(true)
            .open(std::env::temp_dir().join("pids"))
        {
            let _ = writeln!(pids, "{}", child.id());
        }
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut conn) = Conn::connect(self.ready) else {
            return false;
        };
        let ask = request("GET", "/fieldhook/readiness", &[("Host", HOST)], b"");
        conn.send(&ask)
            && conn
                .head(Some(Instant::now() + Duration::from_secs(1)))
                .is_ok_and(|head| head.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A server's record at the store, written again each `heartbeat-ms`.
pub struct Entry {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
}

pub fn keep_entry(store: &Store, entry: Entry) {
    let store = store.clone();
    let born = unix_ms();
    let write = move |sequence: u64| {
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"cyberjaya-a\",\"version\":\"r1\",\"slots\":{},\
            \"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":{sequence},\"born\":{born}}}",
            entry.service, entry.address, entry.slots
        );
        store.put("keyed.servers", &entry.id, &value);
    };
    write(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            write(sequence);
        }
    });
}

/// Publishes a configuration; `routes` and `services` are JSON lists.
pub fn publish(store: &Store, version: u64, routes: &str, services: &str) {
    let document = format!(
        "{{\"version\":{version},\"routes\":{routes},\"services\":{services},\"limits\":{{\
        \"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":5000,\
        \"idle-timeout-ms\":15000}}}}"
    );
    store.put("keyed.op", "config", &document);
}

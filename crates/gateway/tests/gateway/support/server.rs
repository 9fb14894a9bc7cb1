//! Stand-in servers with scripted behavior.

use super::act::Act;
use super::dialect::IDENTITY_PATH;
use super::process::Process;
use super::response::{
    not_run, number_in_target, response_head, send_events, send_events_head_of, send_large,
    send_paced, send_pieces,
};
use bytes::BytesMut;
use fieldhook_gateway::http::body::{BodyDecoder, Piece};
use fieldhook_gateway::http::head::{RequestHead, decode_request_head};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// A request as received by a server.
#[derive(Clone, Debug)]
pub struct Seen {
    /// When the request was read completely.
    pub at: Instant,
    /// When the connection of the request was accepted.
    pub accepted: Instant,
    pub head: RequestHead,
    pub body: Vec<u8>,
}

/// A stand-in server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub seen: Rc<RefCell<Vec<Seen>>>,
    pub client_disconnects: Rc<Cell<u32>>,
    /// Number of open connections.
    pub connections: Rc<Cell<u32>>,
    /// Number of bytes sent without end, and when the connection of the last of them was closed.
    pub endless: Rc<Cell<(usize, Option<Instant>)>>,
    act: Rc<RefCell<Act>>,
    powered_off: Rc<Cell<bool>>,
    process: Rc<Process>,
    /// Connections that fill the accept backlog while the server is unreachable.
    backlog_fillers: Vec<TcpStream>,
}

/// Size of the accept backlog. Once it is full, connection attempts get no reply.
const BACKLOG: u32 = 1;
/// A connection attempt without a reply for this long counts as unanswered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

impl Server {
    pub async fn start(id: &str, act: Act) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        Self::serve_on(listener, id, act)
    }

    /// Starts a server that [`Self::lose_power`] can make unreachable.
    pub async fn start_with_power_switch(id: &str, act: Act) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        let address = "127.0.0.1:0".parse().expect("an address");
        socket.bind(address).expect("binds");
        let listener = socket.listen(BACKLOG).expect("listens");
        Self::serve_on(listener, id, act)
    }

    fn serve_on(listener: TcpListener, id: &str, act: Act) -> Self {
        let server = Self {
            powered_off: Rc::default(),
            backlog_fillers: Vec::new(),
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            seen: Rc::default(),
            client_disconnects: Rc::default(),
            connections: Rc::default(),
            endless: Rc::default(),
            act: Rc::new(RefCell::new(act)),
            process: Rc::new(Process::new(id)),
        };
        let (seen, act) = (server.seen.clone(), server.act.clone());
        let client_disconnects = server.client_disconnects.clone();
        let powered_off = server.powered_off.clone();
        let connections = server.connections.clone();
        let process = server.process.clone();
        let endless = server.endless.clone();
        ntex::rt::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = process.wait_ended() => return,
                    accepted = listener.accept(), if !powered_off.get() && !process.is_starting() => accepted,
                    () = sleep(Duration::from_millis(5)) => continue,
                };
                let Ok((stream, _)) = accepted else {
                    return;
                };
                let serving = serve(
                    stream,
                    process.clone(),
                    seen.clone(),
                    act.clone(),
                    client_disconnects.clone(),
                    endless.clone(),
                );
                let connections = connections.clone();
                ntex::rt::spawn(async move {
                    connections.set(connections.get() + 1);
                    serving.await;
                    connections.set(connections.get() - 1);
                });
            }
        });
        server
    }

    /// Makes the server unreachable: it accepts no connections and stops responding on open ones.
    pub async fn lose_power(&mut self) {
        self.set(Act::Silent);
        self.powered_off.set(true);
        while let Ok(connected) = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            self.backlog_fillers.push(connected.expect("connects"));
        }
    }

    /// Accepts connections again. The server does not respond until [`Self::set`] is called.
    pub fn regain_power(&mut self) {
        self.backlog_fillers.clear();
        self.powered_off.set(false);
    }

    pub fn set(&self, act: Act) {
        *self.act.borrow_mut() = act;
    }

    /// Returns the shared behavior, for a task that changes it later.
    pub fn shared_act(&self) -> Rc<RefCell<Act>> {
        self.act.clone()
    }

    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }

    /// Makes the process end this long after it reads a request whose target or body contains
    /// `mark`.
    pub fn end_on(&self, mark: &str, after: Duration) {
        self.process.end_on(mark, after);
    }

    /// Ends the process.
    pub fn end(&self) {
        self.process.end(self.process.number.get());
    }

    /// Makes the next process listen at the same address at once when one ends. `on_restart` is
    /// called with the number of that process, counted from 0.
    pub fn restart_when_ended(&self, on_restart: impl Fn(u64) + 'static) {
        self.process.restart_when_ended(on_restart);
    }

    /// Makes the process state its start, which is one more than its number.
    pub fn state_start(&self) {
        self.process.states_start.set(true);
    }

    /// Number of times that a process has ended and the next one has started.
    pub fn restarts(&self) -> u64 {
        self.process.number.get()
    }

    /// Makes the server close connections on which it is asked which process it is.
    pub fn conceal_identity(&self) {
        self.process.states_identity.set(false);
    }

    /// Makes the server close connections on which it has stated which process it is.
    pub fn close_after_statement(&self) {
        self.process.closes_after_statement.set(true);
    }

    /// Makes what the process sent on other connections than that of the request that ends it arrive
    /// for this long after the end.
    pub fn delay_output(&self, delay: Duration) {
        self.process.output_delay.set(delay);
    }

    /// Makes the next process accept connections only this long after the end of the one before.
    pub fn delay_start(&self, delay: Duration) {
        self.process.start_delay.set(delay);
    }

    pub fn has_ended(&self) -> bool {
        self.process.has_ended.get()
    }

    /// When processes of the server ended.
    pub fn ends(&self) -> Vec<Instant> {
        self.process.ends.borrow().clone()
    }

    /// Number of requests whose target or body contains `mark`.
    pub fn count_with(&self, mark: &str) -> usize {
        self.times_with(mark).len()
    }

    /// When the requests were read whose target or body contains `mark`.
    pub fn times_with(&self, mark: &str) -> Vec<Instant> {
        let seen = self.seen.borrow();
        let with_mark = seen.iter().filter(|request| {
            String::from_utf8_lossy(&request.body).contains(mark)
                || request.head.target.contains(mark)
        });
        with_mark.map(|request| request.at).collect()
    }
}

async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    accepted: Instant,
) -> Option<Seen> {
    let head = loop {
        if let Ok(Some(head)) = decode_request_head(buffer, 1 << 20) {
            break head;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let mut decoder = BodyDecoder::new(head.framing);
    let mut body = Vec::new();
    loop {
        match decoder.next(buffer).ok()? {
            Piece::Data(data) => body.extend_from_slice(&data),
            Piece::End => {
                let at = Instant::now();
                return Some(Seen {
                    at,
                    accepted,
                    head,
                    body,
                });
            }
            Piece::Incomplete => {
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            }
        }
    }
}

fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

async fn serve(
    stream: TcpStream,
    process: Rc<Process>,
    seen: Rc<RefCell<Vec<Seen>>>,
    act: Rc<RefCell<Act>>,
    client_disconnects: Rc<Cell<u32>>,
    endless: Rc<Cell<(usize, Option<Instant>)>>,
) {
    let linger = SockRef::from(&stream).try_clone();
    let number = process.number.get();
    let is_deadly = Cell::new(false);
    let broken = async {
        process.wait_ended_after(number).await;
        if !is_deadly.get() {
            sleep(process.output_delay.get()).await;
        }
    };
    tokio::select! {
        () = broken => {
            if let Ok(socket) = linger {
                let _ = socket.set_linger(Some(Duration::ZERO));
            }
        }
        () = serve_requests(stream, &process, number, &is_deadly, seen, act, client_disconnects, endless) => {}
    }
}

/// Serves the requests on a connection that the process with this number has accepted.
#[allow(clippy::too_many_arguments)]
async fn serve_requests(
    mut stream: TcpStream,
    process: &Rc<Process>,
    number: u64,
    is_deadly: &Cell<bool>,
    seen: Rc<RefCell<Vec<Seen>>>,
    act: Rc<RefCell<Act>>,
    client_disconnects: Rc<Cell<u32>>,
    endless: Rc<Cell<(usize, Option<Instant>)>>,
) {
    // Events written before a reset would otherwise wait for an acknowledgement and be lost.
    let _ = stream.set_nodelay(true);
    let mut buffer = BytesMut::new();
    let accepted = Instant::now();
    let mut late_copy = String::new();
    while let Some(request) = read_request(&mut stream, &mut buffer, accepted).await {
        if process.has_ended_since(number) {
            // Nothing reads what arrives on a connection of a process that has ended.
            return std::future::pending().await;
        }
        if request.head.target == IDENTITY_PATH {
            if !process.states_identity.get() || matches!(*act.borrow(), Act::Silent) {
                return reset(stream);
            }
            let _ = stream.write_all(process.statement().as_bytes()).await;
            if process.closes_after_statement.get() {
                return;
            }
            continue;
        }
        let id = request
            .head
            .headers
            .text("request")
            .unwrap_or_default()
            .to_owned();
        let last = request
            .head
            .headers
            .text("last-event")
            .and_then(|text| text.parse().ok());
        if let Some(after) = process.ends_after(&request) {
            is_deadly.set(true);
            let process = process.clone();
            ntex::rt::spawn(async move {
                sleep(after).await;
                process.end(number);
            });
        }
        seen.borrow_mut().push(request);
        let is_first = seen.borrow().len() == 1;
        let act = act.borrow().clone();
        let response = |id: &str, status: u16, body: &str| {
            format!(
                "HTTP/1.1 {status} Fine\r\nRequest: {id}\r\nSigned: yes\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        match act {
            Act::Answer(status, body) => {
                let _ = stream
                    .write_all(response(&id, status, &body).as_bytes())
                    .await;
            }
            Act::Large(length) => {
                if !send_large(&mut stream, &id, length).await {
                    return;
                }
            }
            Act::Slow(delay, body) => {
                let mut byte = [0; 1];
                tokio::select! {
                    () = sleep(delay) => {}
                    _ = stream.read(&mut byte) => {
                        client_disconnects.set(client_disconnects.get() + 1);
                        return;
                    }
                }
                let _ = stream.write_all(response(&id, 200, &body).as_bytes()).await;
            }
            Act::NotRun => {
                let _ = stream.write_all(not_run(&id).as_bytes()).await;
            }
            Act::NotRunOnceWithLateCopy(_) if is_first => {
                late_copy = not_run(&id);
                let _ = stream.write_all(late_copy.as_bytes()).await;
            }
            Act::NotRunOnceWithLateCopy(body) => {
                let both = std::mem::take(&mut late_copy) + &response(&id, 200, &body);
                let _ = stream.write_all(both.as_bytes()).await;
            }
            Act::NotRunWithoutId => {
                let response = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
                let _ = stream.write_all(response.as_bytes()).await;
            }
            Act::NotRunTruncated => {
                let head = format!(
                    "HTTP/1.1 503 Full\r\nRequest: {id}\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\n"
                );
                let _ = stream.write_all(head.as_bytes()).await;
                let mut byte = [0; 1];
                let _ = stream.read(&mut byte).await;
                client_disconnects.set(client_disconnects.get() + 1);
                return;
            }
            Act::Reset => return reset(stream),
            Act::Truncated(announces_close, ending) => {
                let length = seen.borrow().last().map_or(0, number_in_target);
                let head = response_head(&id, announces_close);
                let cut = &head[..length.min(head.len())];
                let _ = stream.write_all(cut.as_bytes()).await;
                let _ = stream.write_all(ending.as_bytes()).await;
                return;
            }
            Act::ResetAfter(delay) => {
                sleep(delay).await;
                return reset(stream);
            }
            Act::Paced(events, pause) => {
                if !send_paced(&mut stream, &id, &events, last, pause).await {
                    return;
                }
            }
            Act::OtherResponseFirst(body) => {
                let both = response("another", 200, "not yours") + &response(&id, 200, &body);
                let _ = stream.write_all(both.as_bytes()).await;
            }
            Act::Unframed(body, resets) => {
                let response = format!(
                    "HTTP/1.1 200 Fine\r\nRequest: {id}\r\nSigned: yes\r\nConnection: close\r\n\r\n{body}"
                );
                let _ = stream.write_all(response.as_bytes()).await;
                sleep(Duration::from_millis(30)).await;
                if resets {
                    reset(stream);
                }
                return;
            }
            Act::Events(events, break_within) => {
                if !send_events(&mut stream, &id, &events, last, break_within).await {
                    return reset(stream);
                }
            }
            Act::BreakUnlessResumed(events, number) => {
                let break_within = last.is_none().then_some(number);
                if !send_events(&mut stream, &id, &events, last, break_within).await {
                    return reset(stream);
                }
            }
            Act::RawStream(body) => {
                let _ = stream.write_all(response(&id, 200, &body).as_bytes()).await;
            }
            Act::Before(bytes, body) => {
                let both = bytes.replace("{id}", &id) + &response(&id, 200, &body);
                let _ = stream.write_all(both.as_bytes()).await;
            }
            Act::RawPieces(pieces) => {
                if !send_pieces(&mut stream, &id, &pieces).await {
                    return;
                }
            }
            Act::Endless(kind) => {
                send_events_head_of(&mut stream, kind.head(), &id).await;
                let _ = stream.write_all(kind.beginning()).await;
                let repeated = kind.repeated();
                while stream.write_all(&repeated).await.is_ok() {
                    endless.set((endless.get().0 + repeated.len(), None));
                }
                endless.set((endless.get().0, Some(Instant::now())));
                return;
            }
            Act::Silent | Act::Unresponsive => {
                let mut byte = [0; 1];
                let _ = stream.read(&mut byte).await;
                client_disconnects.set(client_disconnects.get() + 1);
                return;
            }
        }
    }
}

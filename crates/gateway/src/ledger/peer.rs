//! Connections between daemons. A frame is a length followed by a binary message; many calls are
//! multiplexed on one connection.

use super::owner::Owner;
use crate::upstream::connection::configure_socket;
use bytes::{Buf, BytesMut};
use fieldhook_ledger::message::{Envelope, LedgerReply, LedgerRequest, UNSOLICITED_CALL_ID};
use nanoserde::{DeBin, SerBin};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout};

/// Largest accepted message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Size of the length that precedes each message.
const LENGTH_BYTES: usize = 4;
/// Smallest free space in the buffer before each read, in bytes.
const READ_SIZE: usize = 16 << 10;
/// A daemon that does not accept a connection in this time counts as lost.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How often a discarded connection is checked for calls that still wait.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(200);

fn encode<T: SerBin>(envelope: &Envelope<T>) -> Vec<u8> {
    let body = envelope.serialize_bin();
    let mut frame = Vec::with_capacity(LENGTH_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

fn decode<T: DeBin>(buffer: &mut BytesMut) -> io::Result<Option<Envelope<T>>> {
    let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    Envelope::deserialize_bin(&body)
        .map(Some)
        .map_err(|_| io::ErrorKind::InvalidData.into())
}

async fn next_frame<T: DeBin>(
    reader: &mut OwnedReadHalf,
    buffer: &mut BytesMut,
) -> io::Result<Envelope<T>> {
    loop {
        if let Some(envelope) = decode(buffer)? {
            return Ok(envelope);
        }
        buffer.reserve(READ_SIZE);
        if reader.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn write_frames(mut writer: OwnedWriteHalf, mut frames: mpsc::UnboundedReceiver<Vec<u8>>) {
    while let Some(mut frame) = frames.recv().await {
        while let Ok(next) = frames.try_recv() {
            frame.extend_from_slice(&next);
        }
        if writer.write_all(&frame).await.is_err() {
            return;
        }
    }
}

/// Accepts connections of other daemons and handles their requests.
///
/// # Errors
/// If the address cannot be bound.
pub async fn listen(owner: Rc<Owner>, address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    ntex::rt::spawn(async move {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                configure_socket(&stream);
                ntex::rt::spawn(serve(owner.clone(), stream));
            }
        }
    });
    Ok(())
}

async fn serve(owner: Rc<Owner>, stream: TcpStream) {
    let (mut reader, writer) = stream.into_split();
    let (frames, queue) = mpsc::unbounded_channel();
    ntex::rt::spawn(write_frames(writer, queue));
    owner.subscribers.add(frames.clone());
    let connection = owner.backups.number_connection();
    let mut buffer = BytesMut::new();
    while let Ok(envelope) = next_frame::<LedgerRequest>(&mut reader, &mut buffer).await {
        let call_id = envelope.call_id;
        let request = match envelope.body {
            LedgerRequest::BackUpAttempts(message) => {
                let body = owner.backups.receive(connection, message);
                if call_id != UNSOLICITED_CALL_ID {
                    let _ = frames.send(encode(&Envelope { call_id, body }));
                }
                continue;
            }
            request => request,
        };
        let (sender, mut replies) = mpsc::unbounded_channel();
        owner.handle(request, sender);
        let frames = frames.clone();
        ntex::rt::spawn(async move {
            while let Some(body) = replies.recv().await {
                let _ = frames.send(encode(&Envelope { call_id, body }));
            }
        });
    }
    owner.subscribers.remove(&frames);
    owner.backups.close(connection);
}

/// The daemons that have a connection to this one, on which crash watches are reported and questions
/// are asked.
#[derive(Default)]
pub struct Subscribers(RefCell<Vec<mpsc::UnboundedSender<Vec<u8>>>>);

impl Subscribers {
    fn add(&self, frames: mpsc::UnboundedSender<Vec<u8>>) {
        self.0.borrow_mut().push(frames);
    }

    fn remove(&self, frames: &mpsc::UnboundedSender<Vec<u8>>) {
        let mut subscribers = self.0.borrow_mut();
        subscribers.retain(|subscriber| !subscriber.same_channel(frames));
    }

    /// Sends a message to all of them. Replies that are sent to one afterwards arrive after this.
    pub fn notify(&self, body: LedgerReply) {
        let frame = encode(&Envelope {
            call_id: UNSOLICITED_CALL_ID,
            body,
        });
        let mut subscribers = self.0.borrow_mut();
        subscribers.retain(|frames| frames.send(frame.clone()).is_ok());
    }
}

type ReplySender = mpsc::UnboundedSender<LedgerReply>;

/// A call whose replies are awaited.
struct Call {
    made: Instant,
    replies: ReplySender,
}

/// Called with the messages that another daemon sends without a request.
type OnMessage = Rc<dyn Fn(LedgerReply)>;

/// An outgoing connection to another daemon.
pub struct PeerConnection {
    frames: mpsc::UnboundedSender<Vec<u8>>,
    calls: RefCell<HashMap<u64, Call>>,
    next_call_id: Cell<u64>,
    closed: Cell<bool>,
    discarded: Cell<bool>,
    on_discard: Notify,
    /// When the newest call was made that the other daemon has answered. An answer alone may have
    /// waited in the socket while this process was paused.
    last_confirmed: Cell<Instant>,
    /// Partitions about which the other daemon reports crash watches, with the epoch of its claim.
    reported: RefCell<HashMap<u32, u64>>,
    on_message: Option<OnMessage>,
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

impl PeerConnection {
    fn start(stream: TcpStream, on_message: Option<OnMessage>) -> Rc<Self> {
        configure_socket(&stream);
        let (reader, writer) = stream.into_split();
        let (frames, queue) = mpsc::unbounded_channel();
        ntex::rt::spawn(write_frames(writer, queue));
        let connection = Rc::new(Self {
            frames,
            calls: RefCell::default(),
            next_call_id: Cell::new(0),
            closed: Cell::new(false),
            discarded: Cell::new(false),
            on_discard: Notify::new(),
            last_confirmed: Cell::new(Instant::now()),
            reported: RefCell::default(),
            on_message,
        });
        ntex::rt::spawn(connection.clone().read_replies(reader));
        connection
    }

    async fn read_replies(self: Rc<Self>, mut reader: OwnedReadHalf) {
        let mut buffer = BytesMut::new();
        loop {
            // Dropping the read loses nothing: a partial frame stays in the buffer.
            let frame = tokio::select! {
                biased;
                frame = next_frame::<LedgerReply>(&mut reader, &mut buffer) => frame,
                () = self.wait_idle_after_discard() => break,
            };
            let Ok(envelope) = frame else {
                break;
            };
            if envelope.call_id == UNSOLICITED_CALL_ID {
                if let Some(handle) = &self.on_message {
                    handle(envelope.body);
                }
                continue;
            }
            let mut calls = self.calls.borrow_mut();
            let is_interim = envelope.body.is_interim();
            if let Some(call) = calls.get(&envelope.call_id) {
                self.last_confirmed
                    .set(self.last_confirmed.get().max(call.made));
                let _ = call.replies.send(envelope.body);
            }
            if !is_interim {
                calls.remove(&envelope.call_id);
            }
        }
        self.closed.set(true);
        // Dropping the senders ends every waiting call without a reply.
        self.calls.borrow_mut().clear();
    }

    /// Records that the other daemon, by its claim of this epoch, has answered whether a partition is
    /// watched. From then on it reports when that changes.
    pub fn set_reported(&self, partition: u32, epoch: u64) {
        self.reported.borrow_mut().insert(partition, epoch);
    }

    /// Whether the other daemon reports on a partition by its claim of this epoch, and has answered a
    /// call that was made within this time.
    pub fn reports(&self, partition: u32, epoch: u64, within: Duration) -> bool {
        let reported = self.reported.borrow().get(&partition) == Some(&epoch);
        reported && !self.closed.get() && self.last_confirmed.get().elapsed() < within
    }

    /// Completes once the connection was discarded and no call waits for a reply on it. It has to
    /// be closed then, since the other daemon would keep its end open forever.
    async fn wait_idle_after_discard(&self) {
        while !self.discarded.get() {
            self.on_discard.notified().await;
        }
        while self.has_waiting_calls() {
            sleep(IDLE_CHECK_PERIOD).await;
        }
    }

    /// Whether any call waits for a reply. Calls whose receiver was dropped are removed.
    fn has_waiting_calls(&self) -> bool {
        let mut calls = self.calls.borrow_mut();
        calls.retain(|_, call| !call.replies.is_closed());
        !calls.is_empty()
    }

    fn discard(&self) {
        self.discarded.set(true);
        self.on_discard.notify_one();
    }

    /// Whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Whether a call waits for its reply for longer than this.
    pub fn waits_longer_than(&self, time: Duration) -> bool {
        let calls = self.calls.borrow();
        calls.values().any(|call| call.made.elapsed() > time)
    }

    /// Sends a request that is not answered.
    pub fn send(&self, body: LedgerRequest) {
        let call_id = UNSOLICITED_CALL_ID;
        // A connection that has closed is noticed by its reader.
        let _ = self.frames.send(encode(&Envelope { call_id, body }));
    }

    /// Sends a request and returns the channel of its replies, which closes without a reply if the
    /// connection does.
    pub fn call(&self, body: LedgerRequest) -> mpsc::UnboundedReceiver<LedgerReply> {
        let (sender, replies) = mpsc::unbounded_channel();
        let call_id = self.next_call_id.get();
        self.next_call_id.set(call_id + 1);
        let call = Call {
            made: Instant::now(),
            replies: sender,
        };
        self.calls.borrow_mut().insert(call_id, call);
        if self.closed.get()
            || self
                .frames
                .send(encode(&Envelope { call_id, body }))
                .is_err()
        {
            self.calls.borrow_mut().remove(&call_id);
        }
        replies
    }
}

/// Outgoing connections to other daemons, by address.
#[derive(Default)]
pub struct Peers {
    connections: RefCell<HashMap<SocketAddr, Rc<PeerConnection>>>,
    on_message: Option<OnMessage>,
}

impl Peers {
    /// Creates a set of connections. `on_message` is called with the messages that other daemons send
    /// without a request.
    pub fn new(on_message: impl Fn(LedgerReply) + 'static) -> Self {
        Self {
            on_message: Some(Rc::new(on_message)),
            ..Self::default()
        }
    }

    /// Returns the connection to a daemon, which is opened if there is none.
    ///
    /// # Errors
    /// If the daemon does not accept the connection in time.
    pub async fn connection(&self, address: SocketAddr) -> io::Result<Rc<PeerConnection>> {
        if let Some(connection) = self.open_connection(address) {
            return Ok(connection);
        }
        let stream = connect(address).await?;
        // Many requests may go to a new owner at the same moment: all use the connection that was
        // opened first.
        if let Some(connection) = self.open_connection(address) {
            return Ok(connection);
        }
        let connection = PeerConnection::start(stream, self.on_message.clone());
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, connection| !connection.closed.get());
        connections.insert(address, connection.clone());
        Ok(connection)
    }

    /// Sends a request to a daemon and waits for its first reply; `None` if none arrives in time.
    pub async fn request(
        &self,
        address: SocketAddr,
        request: &LedgerRequest,
        reply_timeout: Duration,
    ) -> Option<LedgerReply> {
        let exchange = async {
            let connection = self.connection(address).await.ok()?;
            connection.call(request.clone()).recv().await
        };
        timeout(reply_timeout, exchange).await.ok().flatten()
    }

    /// Returns the connection to a daemon if it is open.
    pub fn open_connection(&self, address: SocketAddr) -> Option<Rc<PeerConnection>> {
        let connection = self.connections.borrow().get(&address).cloned();
        connection.filter(|connection| !connection.closed.get())
    }

    /// Whether a connection to a daemon is open.
    pub fn is_connected(&self, address: SocketAddr) -> bool {
        self.open_connection(address).is_some()
    }

    /// Discards the connection to a daemon that does not answer. It is closed once no call waits on
    /// it.
    pub fn discard(&self, address: SocketAddr) {
        let removed = self.connections.borrow_mut().remove(&address);
        if let Some(connection) = removed {
            connection.discard();
        }
    }
}

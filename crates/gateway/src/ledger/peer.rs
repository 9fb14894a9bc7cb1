//! Connections between daemons: frames of a length and a binary message, many
//! calls side by side on one connection.

use super::owner::Owner;
use crate::upstream::connection::configure_socket;
use bytes::{Buf, BytesMut};
use fieldhook_ledger::message::{Envelope, LedgerReply, LedgerRequest};
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
use tokio::time::{sleep, timeout};

/// Largest frame, in bytes.
const FRAME_LIMIT: usize = 16 << 20;
const LENGTH_BYTES: usize = 4;
const READ_SIZE: usize = 16 << 10;
/// A daemon that does not accept in this time counts as lost.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);
/// How often it is looked whether anybody waits on a connection that was given up.
const UNUSED_PERIOD: Duration = Duration::from_millis(200);

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
    if length > FRAME_LIMIT {
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

/// Listens for other daemons.
///
/// # Errors
/// The address cannot be bound.
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
    let (frames, waiting) = mpsc::unbounded_channel();
    ntex::rt::spawn(write_frames(writer, waiting));
    let mut buffer = BytesMut::new();
    while let Ok(envelope) = next_frame::<LedgerRequest>(&mut reader, &mut buffer).await {
        let (sender, mut replies) = mpsc::unbounded_channel();
        let call = envelope.call_id;
        owner.handle(envelope.body, sender);
        let frames = frames.clone();
        ntex::rt::spawn(async move {
            while let Some(body) = replies.recv().await {
                let _ = frames.send(encode(&Envelope {
                    call_id: call,
                    body,
                }));
            }
        });
    }
}

type Replies = mpsc::UnboundedSender<LedgerReply>;

/// A connection to another daemon.
pub struct PeerConnection {
    frames: mpsc::UnboundedSender<Vec<u8>>,
    calls: RefCell<HashMap<u64, Replies>>,
    next_call: Cell<u64>,
    closed: Cell<bool>,
    forgotten: Cell<bool>,
    was_forgotten: Notify,
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    timeout(CONNECT_LIMIT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

impl PeerConnection {
    fn start(stream: TcpStream) -> Rc<Self> {
        configure_socket(&stream);
        let (reader, writer) = stream.into_split();
        let (frames, waiting) = mpsc::unbounded_channel();
        ntex::rt::spawn(write_frames(writer, waiting));
        let connection = Rc::new(Self {
            frames,
            calls: RefCell::default(),
            next_call: Cell::new(0),
            closed: Cell::new(false),
            forgotten: Cell::new(false),
            was_forgotten: Notify::new(),
        });
        ntex::rt::spawn(connection.clone().read_replies(reader));
        connection
    }

    async fn read_replies(self: Rc<Self>, mut reader: OwnedReadHalf) {
        let mut buffer = BytesMut::new();
        loop {
            // What was read of a frame is in the buffer, whichever comes first.
            let frame = tokio::select! {
                biased;
                frame = next_frame::<LedgerReply>(&mut reader, &mut buffer) => frame,
                () = self.wait_unused() => break,
            };
            let Ok(envelope) = frame else {
                break;
            };
            let mut calls = self.calls.borrow_mut();
            let more = envelope.body.is_interim();
            if let Some(sender) = calls.get(&envelope.call_id) {
                let _ = sender.send(envelope.body);
            }
            if !more {
                calls.remove(&envelope.call_id);
            }
        }
        self.closed.set(true);
        // Dropping the senders tells every waiting call that no answer will come.
        self.calls.borrow_mut().clear();
    }

    /// Ends once the connection was given up and nobody waits for an answer on it any more:
    /// the other daemon would keep its end open for good.
    async fn wait_unused(&self) {
        while !self.forgotten.get() {
            self.was_forgotten.notified().await;
        }
        while self.is_awaited() {
            sleep(UNUSED_PERIOD).await;
        }
    }

    /// Whether anybody waits for an answer; whoever left does not.
    fn is_awaited(&self) -> bool {
        let mut calls = self.calls.borrow_mut();
        calls.retain(|_, sender| !sender.is_closed());
        !calls.is_empty()
    }

    fn forget(&self) {
        self.forgotten.set(true);
        self.was_forgotten.notify_one();
    }

    /// Sends a request; the channel ends without an answer if the connection does.
    pub fn call(&self, body: LedgerRequest) -> mpsc::UnboundedReceiver<LedgerReply> {
        let (sender, replies) = mpsc::unbounded_channel();
        let call = self.next_call.get();
        self.next_call.set(call + 1);
        self.calls.borrow_mut().insert(call, sender);
        if self.closed.get()
            || self
                .frames
                .send(encode(&Envelope {
                    call_id: call,
                    body,
                }))
                .is_err()
        {
            self.calls.borrow_mut().remove(&call);
        }
        replies
    }
}

/// Connections to other daemons by address.
#[derive(Default)]
pub struct Peers {
    connections: RefCell<HashMap<SocketAddr, Rc<PeerConnection>>>,
}

impl Peers {
    /// A connection to a daemon.
    ///
    /// # Errors
    /// It does not accept.
    pub async fn connection(&self, address: SocketAddr) -> io::Result<Rc<PeerConnection>> {
        if let Some(connection) = self.known(address) {
            return Ok(connection);
        }
        let stream = connect(address).await?;
        // Many ask a new owner at the same moment: the first connection is for all of them.
        if let Some(connection) = self.known(address) {
            return Ok(connection);
        }
        let connection = PeerConnection::start(stream);
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, connection| !connection.closed.get());
        connections.insert(address, connection.clone());
        Ok(connection)
    }

    /// Asks a daemon and waits for its first answer; `None` where none comes in time.
    pub async fn request(
        &self,
        address: SocketAddr,
        question: &LedgerRequest,
        limit: Duration,
    ) -> Option<LedgerReply> {
        let exchange = async {
            let connection = self.connection(address).await.ok()?;
            connection.call(question.clone()).recv().await
        };
        timeout(limit, exchange).await.ok().flatten()
    }

    fn known(&self, address: SocketAddr) -> Option<Rc<PeerConnection>> {
        let known = self.connections.borrow().get(&address).cloned();
        known.filter(|connection| !connection.closed.get())
    }

    /// Whether a connection to a daemon was open already.
    pub fn is_connected(&self, address: SocketAddr) -> bool {
        self.known(address).is_some()
    }

    /// Forgets a connection that does not answer. It ends once nobody waits on it.
    pub fn discard(&self, address: SocketAddr) {
        let forgotten = self.connections.borrow_mut().remove(&address);
        if let Some(connection) = forgotten {
            connection.forget();
        }
    }
}

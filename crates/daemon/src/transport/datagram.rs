//! Sends and receives the packets of the failure detector as UDP datagrams. The failure detector
//! tolerates lost, duplicated and delayed packets.

use crate::node::Node;
use fieldhook_membership::{Outgoing, Packet};
use fieldhook_model::address::Address;
use nanoserde::{DeBin, SerBin};
use ntex::time::{Millis, sleep};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;

const MAX_DATAGRAM_BYTES: usize = 65_507;
/// Size of the IP and UDP headers, which are counted as control traffic.
const HEADER_BYTES: u64 = 28;
const TICK_INTERVAL: Millis = Millis(50);

/// A datagram between daemons.
#[derive(Clone, Debug, PartialEq, Eq, SerBin, DeBin)]
pub enum Datagram {
    /// A packet of the failure detector.
    Membership(Packet),
}

thread_local! {
    static SOCKET: RefCell<Option<Rc<UdpSocket>>> = const { RefCell::new(None) };
}

/// Sends a datagram if the socket accepts it without blocking. Otherwise the datagram is dropped.
pub fn send_datagram(node: &Node, to: Address, datagram: &Datagram) {
    let bytes = datagram.serialize_bin();
    node.metrics
        .control_bytes
        .inc_by(bytes.len() as u64 + HEADER_BYTES);
    SOCKET.with_borrow(|socket| {
        if let Some(socket) = socket {
            let _ = socket.try_send_to(&bytes, SocketAddr::V4(to.socket()));
        }
    });
}

/// Binds the socket, and starts the tasks that receive packets and drive the failure detector.
///
/// # Errors
/// The address cannot be bound.
pub async fn run_datagrams(node: Rc<Node>) -> io::Result<()> {
    let socket = Rc::new(UdpSocket::bind(node.id.address.socket()).await?);
    SOCKET.set(Some(socket.clone()));
    ntex::rt::spawn(receive_datagrams(node.clone(), socket));
    ntex::rt::spawn(tick_membership(node));
    Ok(())
}

async fn receive_datagrams(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            sleep(Millis(1)).await;
            continue;
        };
        match Datagram::deserialize_bin(&buffer[..length]) {
            Ok(Datagram::Membership(packet)) => {
                let outgoing = node.detector.borrow_mut().receive(packet);
                send_packets(&node, outgoing);
            }
            Err(error) => tracing::debug!(%error, "datagram dropped"),
        }
    }
}

async fn tick_membership(node: Rc<Node>) {
    loop {
        let outgoing = node.detector.borrow_mut().tick(node.now_ms());
        send_packets(&node, outgoing);
        node.update_last_majority();
        sleep(TICK_INTERVAL).await;
    }
}

fn send_packets(node: &Node, outgoing: Vec<Outgoing>) {
    for Outgoing { to, packet } in outgoing {
        send_datagram(node, to, &Datagram::Membership(packet));
    }
}

//! UDP socket of the gossip protocol.

use std::io;
use std::net::SocketAddr;

use actix_rt::net::UdpSocket;

use crate::protocol::gossip::MAX_DATAGRAM_BYTES;

/// Receives one datagram and returns its length and sender. The kernel truncates a longer datagram,
/// which then fails authentication.
///
/// # Errors
/// The error of the socket.
pub async fn receive(
    socket: &UdpSocket,
    buf: &mut [u8; MAX_DATAGRAM_BYTES],
) -> io::Result<(usize, SocketAddr)> {
    socket.recv_from(buf).await
}

/// Sends one datagram without waiting. If the kernel cannot accept it now, it is dropped, since the
/// gossip protocol repeats important messages.
pub fn send(socket: &UdpSocket, to: SocketAddr, datagram: &[u8]) -> bool {
    socket.try_send_to(datagram, to).is_ok()
}

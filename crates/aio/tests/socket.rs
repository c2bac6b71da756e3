//! What the reader of a connection learns of its errors.

#![allow(clippy::unwrap_used)]

use std::{
    io::{self, Read as _, Write as _},
    net::{Shutdown, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use aio::Socket;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, future};
use rustix::net::sockopt::set_socket_linger;

/// More than the system buffers for a peer that does not read.
const LARGE: usize = 16 << 20;
/// Time for what a peer sends to arrive on the same machine.
const PAUSE: Duration = Duration::from_millis(50);

/// Returns a connection, and the peer's end of it.
fn connect() -> (Socket, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let socket = future::block_on(Socket::connect(listener.local_addr().unwrap())).unwrap();
    (socket, listener.accept().unwrap().0)
}

/// Frees the peer's socket so that the connection is reset without an end of its output.
fn reset(peer: TcpStream) {
    set_socket_linger(&peer, Some(Duration::ZERO)).unwrap();
    drop(peer);
}

/// Reads until the end or an error, and returns the bytes and that error.
fn read_to_end(socket: &mut Socket) -> (Vec<u8>, Option<io::ErrorKind>) {
    let mut bytes = Vec::new();
    let read = future::block_on(socket.read_to_end(&mut bytes));
    (bytes, read.err().map(|err| err.kind()))
}

/// Guards against the part of a response that looks whole: a write gets the error of the connection,
/// and the next read returns 0.
#[test]
fn an_error_that_a_write_got_is_returned_to_the_reader() {
    let (mut socket, mut peer) = connect();
    let mut writer = socket.clone();
    peer.write_all(b"a part").unwrap();
    thread::spawn(move || {
        thread::sleep(PAUSE);
        reset(peer);
    });

    let written = future::block_on(writer.write_all(&vec![b'a'; LARGE]));
    let (bytes, err) = read_to_end(&mut socket);

    assert_eq!(written.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    assert_eq!((&*bytes, err), (&b"a part"[..], Some(io::ErrorKind::ConnectionReset)));
    let again = read_to_end(&mut socket);
    assert_eq!(again, (vec![], Some(io::ErrorKind::ConnectionReset)), "the error comes once");
}

/// Guards against a reset behind the end of the peer's output, of which no read gets an error.
#[test]
fn a_reset_behind_the_end_of_the_input_is_an_error() {
    let (mut socket, mut peer) = connect();
    future::block_on(socket.write_all(b"a request")).unwrap();
    peer.write_all(b"a part").unwrap();
    peer.shutdown(Shutdown::Write).unwrap();
    // The request was not read.
    drop(peer);
    thread::sleep(PAUSE);

    let (bytes, err) = read_to_end(&mut socket);

    assert_eq!((&*bytes, err), (&b"a part"[..], Some(io::ErrorKind::BrokenPipe)));
}

#[test]
fn an_end_without_an_error_is_the_end_of_the_input() {
    let (mut socket, mut peer) = connect();
    let mut writer = socket.clone();
    peer.write_all(b"the whole").unwrap();
    peer.shutdown(Shutdown::Write).unwrap();

    let (bytes, err) = read_to_end(&mut socket);

    assert_eq!((&*bytes, err), (&b"the whole"[..], None));
    future::block_on(writer.write_all(b"the rest")).unwrap();
    let mut rest = [0; 8];
    peer.read_exact(&mut rest).unwrap();
    assert_eq!(&rest, b"the rest");
    assert_eq!(read_to_end(&mut socket), (vec![], None));
}

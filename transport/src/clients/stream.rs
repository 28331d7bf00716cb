//! The stream of a client's connection.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};
use tonic::transport::server::{Connected, TcpConnectInfo};

use super::ClientConnection;
use super::answer::HEAD_TURN_BYTES;
use super::connection::Protocol as ClientProtocol;
use crate::paced_stream::{PacedStream, ReadLimit};

/// Size of the receive buffer of a connection, which bounds the bytes that the process has
/// received and not yet read.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Bytes of an answer that a client has to accept within the timeout.
const MIN_ACCEPTED_BYTES: usize = 16 << 10;

/// Maximum number of connections that wait to be accepted. When the queue is full,
/// the kernel drops a client's SYN packet, which is retransmitted only after a second.
const BACKLOG: i32 = 1_024;
/// The same for a listener of hosts, whose connections are few and kept.
const HOST_BACKLOG: i32 = 128;

/// Opens a TCP listener for callers. Its connections have receive buffers of a bounded size,
/// which also hold what arrives before they are accepted.
///
/// # Errors
///
/// Returns an error if the address is in use or does not belong to this host.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    listen_with_backlog(address, BACKLOG)
}

/// Opens a TCP listener for other hosts of the deployment, as [`listen`] does for callers.
///
/// # Errors
///
/// Returns an error if the address is in use or does not belong to this host.
pub fn listen_to_hosts(address: SocketAddr) -> io::Result<TcpListener> {
    listen_with_backlog(address, HOST_BACKLOG)
}

fn listen_with_backlog(address: SocketAddr, backlog: i32) -> io::Result<TcpListener> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}

/// The stream of a client's connection. It counts what is read, and fails after the client has
/// accepted nothing for the timeout, or when the connection is closed for another one.
#[derive(Debug)]
pub struct ClientStream {
    stream: PacedStream<TcpStream>,
    connection: ClientConnection,
    stall: Option<Stall>,
    /// Timer of a connection of HTTP/2 that nothing arrives on.
    silence: Option<Pin<Box<Sleep>>>,
}

/// A client that does not accept what is written.
#[derive(Debug)]
struct Stall {
    timer: Pin<Box<Sleep>>,
    /// Bytes that were accepted since the timer was set.
    accepted_bytes: usize,
}

impl ClientStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, connection: ClientConnection) -> Self {
        let stream = PacedStream::new(stream);
        if connection.protocol() == ClientProtocol::Http1 {
            stream.limit().set_turn_bytes(HEAD_TURN_BYTES);
        }
        Self {
            stream,
            connection,
            stall: None,
            silence: None,
        }
    }

    /// Returns the limit of the bytes that are read.
    pub fn limit(&self) -> ReadLimit {
        self.stream.limit()
    }

    /// Returns the state of the connection.
    pub fn connection(&self) -> ClientConnection {
        self.connection.clone()
    }

    fn check_open(&self) -> io::Result<()> {
        match self.connection.is_closed() {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    /// Waits for the client to send something, for the timeout at most. Connections of HTTP/1.1
    /// have timeouts for each part of a request.
    fn poll_silence(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.protocol() == ClientProtocol::Http1 {
            return Poll::Pending;
        }
        let connection = &self.connection;
        let timer = self.silence.get_or_insert_with(|| {
            let timeout = connection.clients().silence_timeout();
            Box::pin(sleep_until(Instant::now() + timeout))
        });
        ready!(timer.as_mut().poll(context));
        connection.record_silence();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Waits for the client to accept more, for the timeout at most.
    fn poll_stall(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.connection.set_writer(context.waker());
        let connection = &self.connection;
        let stall = self.stall.get_or_insert_with(|| {
            connection.record_stall();
            let timeout = connection.clients().answer_timeout();
            Stall {
                timer: Box::pin(sleep_until(Instant::now() + timeout)),
                accepted_bytes: 0,
            }
        });
        ready!(stall.timer.as_mut().poll(context));
        self.connection.record_answer_timeout();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn record_written(&mut self, bytes: usize) {
        if let Some(stall) = &mut self.stall {
            stall.accepted_bytes += bytes;
            if stall.accepted_bytes >= MIN_ACCEPTED_BYTES {
                self.stall = None;
                self.connection.record_progress();
            }
        }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        self.connection.disconnect();
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_open()?;
        self.connection.set_reader(context.waker());
        let limit = self.stream.limit();
        if !limit.has_unread_body() && !self.connection.may_read_on() {
            return Poll::Pending;
        }
        let read_bytes = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Pending => return self.poll_silence(context),
            Poll::Ready(read) => read?,
        }
        self.silence = None;
        let bytes = buffer.filled().len() - read_bytes;
        if bytes > 0 && self.connection.record_read(bytes).is_err() {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_open()?;
        match Pin::new(&mut self.stream).poll_write(context, bytes) {
            Poll::Pending => self.poll_stall(context),
            Poll::Ready(written) => {
                self.record_written(*written.as_ref().unwrap_or(&0));
                Poll::Ready(written)
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.stall = None;
        self.connection.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_open()?;
        match Pin::new(&mut self.stream).poll_write_vectored(context, slices) {
            Poll::Pending => self.poll_stall(context),
            Poll::Ready(written) => {
                self.record_written(*written.as_ref().unwrap_or(&0));
                Poll::Ready(written)
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl Connected for ClientStream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.get_ref().connect_info()
    }
}

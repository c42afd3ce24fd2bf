//! Calls of the C library that the standard library doesn't offer: binding before a connect, the length of a
//! listener's queue, and a reset in place of a close.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn bind(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM_CLOEXEC: i32 = 1 | 0o2000000;
const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

fn address(of: SocketAddrV4) -> SockAddrIn {
    SockAddrIn {
        family: AF_INET as u16,
        port: of.port().to_be(),
        address: u32::from(*of.ip()).to_be(),
        zero: [0; 8],
    }
}

/// Connects to `to` from the address `from`, at any port.
pub fn connect_from(from: &str, to: SocketAddr) -> std::io::Result<TcpStream> {
    let from: Ipv4Addr = from.parse().map_err(std::io::Error::other)?;
    let SocketAddr::V4(to) = to else { return Err(std::io::Error::other("not an IPv4 address")) };
    // SAFETY: the descriptor is owned by the stream from its creation on, and the addresses outlive the calls.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM_CLOEXEC, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let own = address(SocketAddrV4::new(from, 0));
        if bind(fd, &own, 16) != 0 || connect(fd, &address(to), 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Sets the number of connections that may wait for an accept.
pub fn set_backlog(listener: &TcpListener, backlog: i32) {
    // SAFETY: the descriptor is that of an open listener.
    unsafe { listen(listener.as_raw_fd(), backlog) };
}

/// Makes the end of the connection a reset.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1, 0];
    // SAFETY: the option's value is two integers, as `struct linger`.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

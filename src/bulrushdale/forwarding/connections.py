"""TCP connections to targets, the store and other routers."""

import asyncio
import fcntl
import socket
import struct
import termios
import typing

# A SYN is acknowledged within a round trip, under 30 ms between regions. A
# lost one is resent only after a second; another target is faster by then.
CONNECT_TIMEOUT_MS = 200
# Data unacknowledged for this long means that the path is down. Links that
# lose packets recover within a few hundred ms.
TCP_USER_TIMEOUT_MS = 2_000
# The same, while a caller has a response to read. The kernel also counts the
# time in which a peer accepts no more data, as it has stopped reading.
CALLER_USER_TIMEOUT_MS = 10_000
# An unresponsive peer is detected after the idle time and the probes.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The kernel doubles this and offers the peer about half of it. It bounds what
# a peer can have the kernel keep while nothing is read, and lets 2.6 MB/s
# arrive over a round trip of 24 ms, and 35 MB/s over one of 1.8 ms.
RECEIVE_BUFFER_BYTES = 64 << 10
# The same for callers, of whom there may be hundreds; 1.3 and 17 MB/s.
CALLER_RECEIVE_BUFFER_BYTES = 32 << 10
# The kernel takes no more while this much waits to be sent. The rest of its
# buffer, which it sizes itself, is for data on its way.
UNSENT_LIMIT_BYTES = 128 << 10
# SO_LINGER with a zero timeout: close() drops unsent data and resets the
# connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_END_ON_CLOSE = struct.pack("ii", 0, 0)
_INT = struct.Struct("i")
# Linux: the state, and the number of unacknowledged segments.
_TCP_INFO = struct.Struct("=B23xI")
# Linux: state CLOSE_WAIT.
_ENDED_BY_PEER_STATE = 8
# Linux: states FIN_WAIT1 and CLOSING.
_END_UNACKNOWLEDGED_STATES = (4, 11)


def set_socket_options(sock: socket.socket) -> None:
    """Set options so that a lost peer is detected within seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def set_caller_buffers(sock: socket.socket) -> None:
    """Bound what the kernel keeps for a caller.

    :param sock: the listening socket, before connections are accepted.
    """
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_RECEIVE_BUFFER_BYTES
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_LIMIT_BYTES
    )


def set_user_timeout(
    transport: asyncio.BaseTransport | None, timeout_ms: int
) -> None:
    """Set how long data may stay unacknowledged before a connection ends.

    :param transport: its transport; none if it has ended.
    :param timeout_ms: the time, in ms.
    """
    sock = None if transport is None else transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )


def reset_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the end of a connection a reset, which drops unsent data.

    The kernel also resets it if this process is killed.
    """
    _set_linger(transport, _RESET_ON_CLOSE)


def end_on_close(transport: asyncio.BaseTransport) -> None:
    """Make the end of a connection an orderly one again.

    Data that is still in the buffer of the transport would be lost if this
    process were killed, and the end would look like that of all data.
    """
    _set_linger(transport, _END_ON_CLOSE)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset, which drops unsent data."""
    reset_on_close(transport)
    # A close would wait until the data in the buffer is sent.
    transport.abort()


def _set_linger(transport: asyncio.BaseTransport, linger: bytes) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def unacknowledged_segments(transport: asyncio.BaseTransport) -> int | None:
    """Return how many sent segments the peer hasn't acknowledged.

    :return: the number; none if the kernel doesn't tell.
    """
    info = _tcp_info(transport)
    return None if info is None else info[1]


def unreceived_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how much of the data written hasn't reached the peer's kernel.

    Beside the buffer of the transport, this counts what the kernel has not
    sent yet, as the peer accepts no more, and what isn't acknowledged.

    :return: the number of bytes; without those in the kernel if it doesn't
        tell.
    """
    buffered_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return buffered_bytes
    try:
        data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return buffered_bytes
    return buffered_bytes + typing.cast(int, _INT.unpack(data)[0])


def _tcp_info(transport: asyncio.BaseTransport) -> tuple[int, int] | None:
    """Return the TCP state of a connection and its unacknowledged segments."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return None
    try:
        data = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
        return typing.cast(tuple[int, int], _TCP_INFO.unpack(data))
    except (OSError, struct.error):
        return None


def send_end(transport: asyncio.Transport, timeout_ms: int) -> bool:
    """Send the orderly end of a connection, and keep it open for reading.

    :param transport: its transport, without data in its buffer.
    :param timeout_ms: how long the kernel sends the end again until the peer
        acknowledges it, in ms.
    :return: false if the connection has ended.
    """
    sock = transport.get_extra_info("socket")
    try:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
        )
        transport.write_eof()
    except OSError:
        return False
    return True


def is_end_unacknowledged(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer hasn't acknowledged the orderly end yet.

    :return: false also if the kernel doesn't tell.
    """
    info = _tcp_info(transport)
    return info is not None and info[0] in _END_UNACKNOWLEDGED_STATES


def is_ended_by_peer(transport: asyncio.BaseTransport | None) -> bool:
    """Return whether the orderly end of a peer has arrived at the kernel.

    The data before it may not have been read yet.

    :param transport: the transport of the connection; none if it has ended.
    :return: false also if the kernel doesn't tell.
    """
    info = None if transport is None else _tcp_info(transport)
    return info is not None and info[0] == _ENDED_BY_PEER_STATE


def format_address(peer: tuple[str, int] | None) -> str:
    """Return an address as text; empty if the connection has ended."""
    return "" if peer is None else f"{peer[0]}:{peer[1]}"


def make_socket(
    family: int = socket.AF_INET,
    kind: int = socket.SOCK_STREAM,
    proto: int = 0,
) -> socket.socket:
    """Return a socket that detects a lost peer within seconds."""
    sock = socket.socket(family, kind, proto)
    sock.setblocking(False)
    set_socket_options(sock)
    return sock

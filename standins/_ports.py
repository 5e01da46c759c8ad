"""Loopback ports that stay reserved while no server listens on them."""

import socket

HOST = "127.0.0.1"


def hold_port(port: int = 0) -> socket.socket:
    """Binds a socket that keeps a port from other processes until it is closed.

    The socket does not listen, so connections to the port are refused. A server
    that sets SO_REUSEADDR, as all event loops do, can still listen on it.

    Args:
        port: Port to hold; 0 takes any free one.

    Raises:
        OSError: A server listens on the port, or another process holds it
            without SO_REUSEADDR.
    """
    holder = socket.socket()
    try:
        if port:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((HOST, port))
        # For a port that the system chooses, the option is set after the bind,
        # so that two holders never share it.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    except OSError:
        holder.close()
        raise
    return holder

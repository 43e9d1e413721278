"""Listens before anything heavy is loaded.

A program that starts again is called at once by requesters who still have its
address. Its sockets listen within a few ms of the start, so such calls wait
for the load of the rest in place of being turned away by the machine.
"""

import os
import signal
import socket
import sys

HELD = {}
HANGUPS = []
NEVER = ("ssl", "_ssl")


def leave_out(names=NEVER):
    """Keeps optional modules that are never used from being loaded; libraries do without them.

    Neither program speaks TLS. Loading it all the same costs a fifth of a start,
    since two contexts read the machine's certificates, and a tenth of the memory.

    >>> leave_out(())
    """
    for name in names:
        sys.modules.setdefault(name, None)


def hold_hangups():
    """Keeps SIGHUP from ending a program that is still being loaded; ``hangup_came`` tells of it later."""
    signal.signal(signal.SIGHUP, lambda number, frame: HANGUPS.append(number))


def hangup_came():
    """Whether SIGHUP came while the program was loaded: its settings may have changed since they were read.

    >>> hangup_came()
    False
    """
    return bool(HANGUPS)


def listen(names):
    """Binds the named listen addresses of the startup file, where that works.

    Whatever is wrong is left to the checked reading that follows.

    >>> listen(())
    """
    import tomllib

    try:
        with open(os.environ.get("SPARLOOM_CONFIG", "/etc/sparloom/node.toml"), "rb") as f:
            addrs = tomllib.load(f)["listenAddresses"]
        for name in names:
            host, _, port = addrs[name].rpartition(":")
            HELD[host, int(port)] = bound(host, int(port))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return


def bound(host, port, backlog=512):
    """A listening socket.

    >>> s = bound("127.0.0.1", 0); s.close()
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    sock.listen(backlog)
    sock.setblocking(False)
    return sock


def take(host, port):
    """The socket that was bound early, or a new one.

    >>> s = take("127.0.0.1", 0); s.close()
    """
    return HELD.pop((host, port), None) or bound(host, port)

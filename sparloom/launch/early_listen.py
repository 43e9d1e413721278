"""Listens before anything heavy is loaded.

A program that starts again is called at once by requesters who still have its
address. Its sockets listen within a few ms of the start, so such calls wait
for the load of the rest in place of being turned away by the machine.
"""

import os
import signal
import socket
import sys
from types import ModuleType

HELD = {}
HANGUPS = []
OPTIONAL = ("ssl", "_ssl", "_hashlib")
PLACEHOLDERS = {"croniter": (), "croniter.croniter": ("croniter",)}


def leave_out(optional=OPTIONAL, placeholders=PLACEHOLDERS):
    """Keeps modules that are never used from being loaded.

    Libraries do without the ``optional`` ones. Neither program speaks TLS:
    loading it all the same costs a fifth of a start, since two contexts read the
    machine's certificates, and a tenth of the memory. The digests in use are
    Python's own.

    A module with a placeholder is imported by a library that it is no part of
    the use of: ``mode`` loads a reader of cron tables, which loads time zones
    and starts another program to learn what machine this is. The placeholder
    has the imported names, with None for each.

    >>> leave_out((), {})
    """
    for name in optional:
        sys.modules.setdefault(name, None)
    for name, attributes in placeholders.items():
        module = sys.modules.setdefault(name, ModuleType(name))
        for attribute in attributes:
            if not hasattr(module, attribute):
                setattr(module, attribute, None)


def skip_mime_files():
    """Lets the table of file types be the built-in one: no file is served, and the machine's lists are long."""
    import mimetypes

    mimetypes.knownfiles.clear()


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

"""Listens before anything heavy is loaded.

Clients that still have the address of a program that starts again call it at
once. Its sockets listen within a few milliseconds of the start, so such calls
wait in the backlog while the rest is loaded; otherwise the machine would
reject them.
"""

from __future__ import annotations

import os
import signal
import socket
import sys
from types import ModuleType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

DEFAULT_SETTINGS_PATH = "/etc/sparloom/node.toml"
LISTEN_BACKLOG = 512
UNUSED_MODULES = ("ssl", "_ssl", "_hashlib")
PLACEHOLDER_MODULES = {
    "croniter": (),
    "croniter.croniter": ("croniter",),
    "xml.dom.minidom": ("Document", "Element"),
}

_early_sockets: dict[tuple[str, int], socket.socket] = {}
_pending_hangups: list[int] = []


def block_unused_modules(
    unused: Iterable[str] = UNUSED_MODULES, placeholders: Mapping[str, Sequence[str]] = PLACEHOLDER_MODULES
) -> None:
    """Keeps modules that are never used from being loaded.

    Libraries do without the ``unused`` ones. Neither program speaks TLS:
    loading it all the same costs a fifth of a start, since two contexts read
    the machine's certificates, and a tenth of the memory. The digests in use
    are Python's own.

    A placeholder stands for a module that a library imports without need:
    ``mode`` loads a parser of cron tables, which loads time zones and starts
    another program to learn what machine this is; ``absl.flags`` loads a parser
    of XML for a help text that nobody asks for. The placeholder has the given
    attributes, each of them None.

    >>> block_unused_modules((), {})
    """
    for name in unused:
        # None makes an import of that name fail (documented in ``sys.modules``); the type stubs don't allow it.
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    for name, attributes in placeholders.items():
        module = sys.modules.setdefault(name, ModuleType(name))
        for attribute in attributes:
            if not hasattr(module, attribute):
                setattr(module, attribute, None)


def skip_mime_files() -> None:
    """Uses the built-in table of file types: no file is served, and the machine's lists are long."""
    import mimetypes

    mimetypes.knownfiles.clear()


def defer_hangups() -> None:
    """Keeps SIGHUP from ending a program that is still being loaded; see ``hangup_came``."""
    signal.signal(signal.SIGHUP, lambda number, frame: _pending_hangups.append(number))


def hangup_came() -> bool:
    """Whether SIGHUP came while the program was loaded: its settings may have changed since they were read.

    >>> hangup_came()
    False
    """
    return bool(_pending_hangups)


def listen(names: Iterable[str]) -> None:
    """Binds the named listen addresses of the startup file, where that works.

    Faults are left to the checked reading of the file that follows.

    >>> listen(())
    """
    import tomllib

    try:
        with open(os.environ.get("SPARLOOM_CONFIG", DEFAULT_SETTINGS_PATH), "rb") as file:
            addresses = tomllib.load(file)["listenAddresses"]
        for name in names:
            host, _, port = addresses[name].rpartition(":")
            _early_sockets[host, int(port)] = listening_socket(host, int(port))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return


def listening_socket(host: str, port: int, backlog: int = LISTEN_BACKLOG) -> socket.socket:
    """A non-blocking listening socket.

    Raises
    ------
    OSError
        The address is in use or not this machine's.

    Examples
    --------
    >>> listening_socket("127.0.0.1", 0).close()
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


def take(host: str, port: int) -> socket.socket:
    """The socket that was bound early, or a new one.

    >>> take("127.0.0.1", 0).close()
    """
    return _early_sockets.pop((host, port), None) or listening_socket(host, port)

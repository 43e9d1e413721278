"""Binds the listening sockets before the large imports of a program.

Clients that still hold the address of a restarting program connect to it
immediately. The sockets listen within a few milliseconds of the process start,
so these connections wait in the backlog during the imports. Without them the
operating system would refuse the connections.
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

DEFAULT_STARTUP_PATH = "/etc/sparloom/node.toml"
LISTEN_BACKLOG = 512
UNUSED_MODULES = ("ssl", "_ssl", "_hashlib")
PLACEHOLDER_MODULES = {
    "croniter": (),
    "croniter.croniter": ("croniter",),
    "xml.dom.minidom": ("Document", "Element"),
}

_early_sockets: dict[tuple[str, int], socket.socket] = {}
_deferred_hangups: list[int] = []


def block_unused_modules(
    unused: Iterable[str] = UNUSED_MODULES, placeholders: Mapping[str, Sequence[str]] = PLACEHOLDER_MODULES
) -> None:
    """Prevents imports of modules that the programs never use.

    Importing a module in ``unused`` fails; the libraries that import them treat
    them as optional. Neither program uses TLS. Importing ``ssl`` would take a
    fifth of the start time, because two contexts read the system's certificates,
    and a tenth of the memory. Digests use Python's built-in implementations.

    ``placeholders`` maps modules that a library imports but does not need to the
    attributes that the library expects; each attribute is None. ``mode`` imports
    a cron parser, which loads time zones and starts a subprocess to detect the
    platform. ``absl.flags`` imports an XML parser for a help text that is never
    printed.

    >>> block_unused_modules((), {})
    """
    for name in unused:
        # An entry of None makes the import fail, as documented for ``sys.modules``. The type stubs don't allow it.
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    for name, attributes in placeholders.items():
        module = sys.modules.setdefault(name, ModuleType(name))
        for attribute in attributes:
            if not hasattr(module, attribute):
                setattr(module, attribute, None)


def skip_mime_files() -> None:
    """Limits ``mimetypes`` to its built-in table: the programs serve no files, and the system's tables are large."""
    import mimetypes

    mimetypes.knownfiles.clear()


def defer_hangups() -> None:
    """Records SIGHUP during the imports, when its default action would end the process; see ``hangup_received``."""
    signal.signal(signal.SIGHUP, lambda number, frame: _deferred_hangups.append(number))


def hangup_received() -> bool:
    """Whether SIGHUP arrived during the imports; the startup file may have changed since it was read.

    >>> hangup_received()
    False
    """
    return bool(_deferred_hangups)


def listen_early(names: Iterable[str]) -> None:
    """Binds the named listen addresses of the startup file.

    Errors are ignored here. The program validates the file later, binds the
    addresses that are still unbound and reports any error then.

    >>> listen_early(())
    """
    import tomllib

    try:
        with open(os.environ.get("SPARLOOM_CONFIG", DEFAULT_STARTUP_PATH), "rb") as file:
            addresses = tomllib.load(file)["listenAddresses"]
        for name in names:
            host, _, port = addresses[name].rpartition(":")
            _early_sockets[host, int(port)] = open_listening_socket(host, int(port))
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return


def open_listening_socket(host: str, port: int, backlog: int = LISTEN_BACKLOG) -> socket.socket:
    """Opens a non-blocking listening socket.

    Raises
    ------
    OSError
        The address is in use or not local.

    Examples
    --------
    >>> open_listening_socket("127.0.0.1", 0).close()
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
    """Returns the socket that was bound early for an address, or opens a new one.

    >>> take("127.0.0.1", 0).close()
    """
    return _early_sockets.pop((host, port), None) or open_listening_socket(host, port)

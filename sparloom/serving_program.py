"""Base of the router and controller programs: signal handling and reloading of the startup file.

Each program is a ``ServingProgram``, the root of its tree of services. It serves
until SIGTERM or SIGINT and reloads its startup file on SIGHUP or after a change
of the file, which ``FileWatch`` detects.
"""

from __future__ import annotations

import asyncio
import os
import signal

from absl import logging
from attrs import define, field
from mode import Service

from sparloom.admission import set_process_memory
from sparloom.launch.early_listen import hangup_received
from sparloom.metrics import report_interval
from sparloom.settings import Settings, read

WATCH_INTERVAL_S = 1.0
STOP_TIMEOUT_S = 2


@define(slots=True)
class FileWatch:
    """Detects changes of a file between checks.

    Attributes
    ----------
    path
        Path of the file, which need not exist.

    Examples
    --------
    >>> FileWatch("/nowhere").changed()
    False
    """

    path: str
    _fingerprint: tuple[int, ...] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._fingerprint = self._read_fingerprint()

    def _read_fingerprint(self) -> tuple[int, ...]:
        """Returns the modification time, size and inode of the file; empty if it does not exist."""
        try:
            status = os.stat(self.path)
        except OSError:
            return ()
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def changed(self) -> bool:
        """Whether the file was changed, created or removed since the last call, or since construction.

        Examples
        --------
        >>> FileWatch("/nowhere").changed()
        False
        """
        last = self._fingerprint
        self._fingerprint = self._read_fingerprint()
        return last != self._fingerprint


class ServingProgram(Service):
    """Root service of a program; all other services are its dependencies.

    Attributes
    ----------
    settings : Settings
        The current settings.
    path : str
        Path of the startup file that they were read from.
    """

    def __init__(self, settings: Settings, path: str) -> None:
        super().__init__()
        self.settings, self.path = settings, path
        self.file_watch = FileWatch(path)
        if settings is not None:
            set_process_memory(settings.limits.memory_mb)

    async def start_metrics_reporter(self) -> None:
        """Starts the periodic logging of metrics, if an environment variable enables it."""
        interval = report_interval()
        if interval:
            from sparloom.metrics.reporter import MetricsReporter

            await self.add_runtime_dependency(MetricsReporter(self.settings.node, interval))

    def reload_startup_file(self) -> None:
        """Reloads the startup file; an invalid file is logged and ignored."""
        loaded = read(self.path)
        if loaded.value_or(None) is None:
            logging.warning("startup: file rejected error=%r", loaded.failure())
            return
        set_process_memory(loaded.unwrap().limits.memory_mb)
        self.apply_settings(loaded.unwrap())
        logging.info("startup: file reloaded path=%s", self.path)

    def apply_settings(self, settings: Settings) -> None:
        """Switches to new, validated settings."""
        raise NotImplementedError

    async def graceful_shutdown(self) -> None:
        """Drains this process and hands over its responsibilities, before its services stop."""
        raise NotImplementedError

    @Service.task
    async def _watch_startup_file(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(WATCH_INTERVAL_S)
            if self.file_watch.changed():
                self.reload_startup_file()


async def serve_until_signalled(program: ServingProgram) -> None:
    """Runs a program until SIGTERM or SIGINT, then shuts it down gracefully.

    Raises
    ------
    OSError
        A listen address can't be bound.
    TimeoutError
        The services did not stop within ``STOP_TIMEOUT_S`` seconds.
    """
    loop, stop_requested = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, program.reload_startup_file)
    await program.start()
    # A SIGHUP that arrived during the imports has not been handled yet.
    if hangup_received():
        program.reload_startup_file()
    await stop_requested.wait()
    await program.graceful_shutdown()
    async with asyncio.timeout(STOP_TIMEOUT_S):
        await program.stop()
    # The event loop removes its signal handlers when it closes. A signal after that must not end the process by its
    # default action.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})

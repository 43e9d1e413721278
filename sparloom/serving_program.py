"""What the router's and the controller's programs share: signals, and a startup file that is read again.

Each program is one root service. It serves until SIGTERM or SIGINT, and reads
its startup file again on SIGHUP or when the file has changed.
"""

from __future__ import annotations

import asyncio
import os
import signal

from absl import logging
from attrs import define, field
from mode import Service

from sparloom.launch.early_listen import hangup_came
from sparloom.metrics import report_interval
from sparloom.settings import Settings, read

WATCH_INTERVAL_S = 1.0
STOP_TIMEOUT_S = 2


@define(slots=True)
class FileWatch:
    """Compares a file with how it was when last looked at.

    Attributes
    ----------
    path
        The file; it need not exist.

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
        """Time of modification, size and inode; empty where there is no such file."""
        try:
            status = os.stat(self.path)
        except OSError:
            return ()
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def changed(self) -> bool:
        """Whether the file was changed, made or removed since the last call, or since the watch began.

        Examples
        --------
        >>> FileWatch("/nowhere").changed()
        False
        """
        last = self._fingerprint
        self._fingerprint = self._read_fingerprint()
        return last != self._fingerprint


class ServingProgram(Service):
    """A program's root service, which owns all others.

    Attributes
    ----------
    settings : Settings
        The settings in force.
    path : str
        The startup file that they were read from.
    """

    def __init__(self, settings: Settings, path: str) -> None:
        super().__init__()
        self.settings, self.path = settings, path
        self.file_watch = FileWatch(path)

    async def start_metrics_reporter(self) -> None:
        """Starts to log the process's metrics, if the environment asks for it."""
        interval = report_interval()
        if interval:
            from sparloom.metrics.reporter import MetricsReporter

            await self.add_runtime_dependency(MetricsReporter(self.settings.node, interval))

    def reread(self) -> None:
        """Reads the startup file again; a file that can't be used is logged and changes nothing."""
        found = read(self.path)
        if found.value_or(None) is None:
            logging.warning("startup: file rejected error=%r", found.failure())
            return
        self.apply_settings(found.unwrap())
        logging.info("startup: file reread path=%s", self.path)

    def apply_settings(self, settings: Settings) -> None:
        """Goes by other checked settings from now on."""
        raise NotImplementedError

    async def graceful_shutdown(self) -> None:
        """Hands over what rests on this process, before its services stop."""
        raise NotImplementedError

    @Service.task
    async def _watch_startup_file(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(WATCH_INTERVAL_S)
            if self.file_watch.changed():
                self.reread()


async def serve_until_signalled(program: ServingProgram) -> None:
    """Runs a program until SIGTERM or SIGINT, then shuts it down.

    Raises
    ------
    OSError
        An address of the settings can't be bound.
    TimeoutError
        The services did not stop within ``STOP_TIMEOUT_S`` seconds.
    """
    loop, end = asyncio.get_running_loop(), asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end.set)
    loop.add_signal_handler(signal.SIGHUP, program.reread)
    await program.start()
    # A SIGHUP that came while the modules were loaded has not been acted on yet.
    if hangup_came():
        program.reread()
    await end.wait()
    await program.graceful_shutdown()
    async with asyncio.timeout(STOP_TIMEOUT_S):
        await program.stop()
    # The event loop takes its handlers along as it closes; what comes behind them must not end the process by itself.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM})

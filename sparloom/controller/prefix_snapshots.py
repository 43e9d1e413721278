"""Remembers for the routers which runner keeps which long prefix, also over a loss of all power."""

import asyncio
import os

from absl import logging
from mode import Service

from sparloom.prefix_cache import PlacementQuery, PlacementTable, PrefixPlacements

FILE = "prefixes"


class PrefixSnapshots(Service):
    """Takes routers' words, answers those that start, and keeps it all in a file.

    It is a hint only: a file that is late, lost or torn costs some reading.
    The file is replaced whole by a thread, one at a time, so a slow disk holds
    up nothing else.
    """

    def __init__(self, folder, send, pause):
        super().__init__()
        self.path, self.send, self.pause = os.path.join(folder, FILE), send, pause
        self.memory = PlacementTable()

    def load(self):
        """What the disk holds."""
        try:
            with open(self.path, "rb") as f:
                self.memory = PlacementTable.unpack(f.read())
        except OSError:
            pass
        logging.info("prefixes: %d are remembered.", len(self.memory.items))

    def arrive(self, src, rec):
        """Takes a router's record; tells whether it was one for the memory."""
        if isinstance(rec, PrefixPlacements):
            self.memory.add(rec.placements)
        elif isinstance(rec, PlacementQuery):
            for a in self.memory.to_records():
                self.send(src, a)
        else:
            return False
        return True

    @Service.task
    async def _keep(self):
        while not self.should_stop:
            await asyncio.sleep(self.pause)
            if self.memory.changed:
                self.memory.changed = False
                try:
                    await asyncio.to_thread(self._write, self.memory.pack())
                except OSError as e:
                    logging.info("prefixes: not kept (%s).", e)

    def _write(self, raw):
        new = self.path + ".new"
        with open(new, "wb") as f:
            f.write(raw)
            f.flush()
            os.fsync(f.fileno())
        os.replace(new, self.path)
        fd = os.open(os.path.dirname(self.path), os.O_RDONLY)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

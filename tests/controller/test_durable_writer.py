"""The disk thread and the store: order, retries, and files that can't be read."""

import asyncio
import os
import sqlite3
import tempfile
import unittest

from sparloom.consensus import EMPTY, Data, Register, Save, Store
from sparloom.consensus.store import FILE, SET_ASIDE
from sparloom.controller.durable_writer import DurableWriter

DATA = Data(7, 1, 3, b"xyz")


def register(promised, kept=0):
    return Register(5, False, promised, [], False, kept)


class FailingStore:
    """A store whose next saves fail."""

    def __init__(self, failures):
        self.failures, self.rows = failures, []

    def save(self, register, data=None):
        if self.failures:
            self.failures -= 1
            raise sqlite3.OperationalError("database or disk is full")
        self.rows.append((register, data))

    def close(self):
        pass


class Retries(unittest.IsolatedAsyncioTestCase):
    async def write(self, failures, saves):
        done, failed, end = [], [], asyncio.Event()

        def finished(saves):
            done.extend(saves)
            end.set()

        writer = DurableWriter("/nowhere", asyncio.get_running_loop(), finished, lambda: failed.append(1))
        writer.store = FailingStore(failures)
        for save in saves:
            writer.put(save)
        writer.start()
        async with asyncio.timeout(10):
            while len(done) < len(saves):
                end.clear()
                await end.wait()
        await writer.stop()
        return writer.store.rows, done, failed

    async def test_a_failed_copy_reaches_the_disk_with_the_register_that_claims_it(self):
        """A later save without data must not put a register on disk whose copy is not there."""
        first, second = Save(register(7, kept=7), DATA, 1), Save(register(9, kept=7), None, 2)
        rows, done, failed = await self.write(1, [first, second])
        self.assertEqual(rows, [(second.register, DATA)])
        self.assertEqual((done, failed), ([first, second], [1]))

    async def test_a_failed_save_is_retried_without_another_one(self):
        save = Save(register(7), None, 1)
        rows, done, failed = await self.write(2, [save])
        self.assertEqual((rows, done, failed), ([(save.register, None)], [save], [1, 1]))


class Files(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def reopened(self):
        store = Store.open(self.folder)
        self.addCleanup(store.close)
        return store.load()

    def saved(self, register, data=None):
        store = Store.open(self.folder)
        store.save(register, data)
        store.close()

    def test_a_register_without_a_copy(self):
        self.saved(register(7))
        self.assertEqual(self.reopened(), (register(7), EMPTY))

    def test_a_register_whose_copy_is_missing_is_no_member_any_more(self):
        self.saved(register(7, kept=7))
        self.assertIsNone(self.reopened())

    def test_a_file_that_is_no_database_is_set_aside(self):
        self.saved(register(7, kept=7), DATA)
        with open(os.path.join(self.folder, FILE), "r+b") as file:
            file.write(b"torn" * 1024)
        self.assertIsNone(self.reopened())
        self.assertIn(SET_ASIDE, os.listdir(self.folder))

    def test_bytes_of_another_layout_are_no_register(self):
        self.saved(register(7, kept=7), DATA)
        store = Store.open(self.folder)
        store.db.execute("UPDATE kept SET body = ? WHERE what = 'register'", (b"old",))
        store.close()
        self.assertIsNone(self.reopened())

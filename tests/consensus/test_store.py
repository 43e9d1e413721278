"""``Store``: saving and loading of the durable state."""

import tempfile
import unittest

from sparloom.consensus import Store
from sparloom.consensus.records import Data, Register


class StoredState(unittest.TestCase):
    def test_saved_state_is_loaded_after_reopening(self):
        with tempfile.TemporaryDirectory() as folder:
            store = Store(folder)
            self.assertIsNone(store.load())
            register, data = Register(5, True, 7, [], False, 0), Data(7, 1, 3, b"xyz")
            store.save(register, data)
            store.save(Register(5, True, 9, [], False, 0))
            store.close()
            store = Store(folder)
            self.assertEqual(store.load(), (Register(5, True, 9, [], False, 0), data))
            for name, expected in (("synchronous", 3), ("journal_mode", "persist"), ("locking_mode", "exclusive")):
                self.assertEqual(store.db.execute(f"PRAGMA {name}").fetchone()[0], expected)
            store.close()


if __name__ == "__main__":
    unittest.main()

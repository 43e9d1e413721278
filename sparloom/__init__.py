"""sparloom: a router fleet for a language model.

The programs live beside this file; the small libraries that they are made of
live under ``libs/`` and are imported as ``sparloom.<name>``.

>>> from sparloom.policy import Policy
"""

import os

__version__ = "0.1.0"
__path__.append(os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "libs"))

"""sparloom: a router fleet for a language model.

The two programs ``sparloom.router`` (data plane) and ``sparloom.controller``
(control plane) are built from small libraries, each a subpackage.
``docs/architecture.md`` lists them, lowest layer first.

>>> from sparloom.configuration import Configuration
"""

__version__ = "0.1.0"

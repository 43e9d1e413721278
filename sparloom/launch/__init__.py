"""Fast program start: listening sockets are bound early, and modules are loaded from a bytecode archive."""

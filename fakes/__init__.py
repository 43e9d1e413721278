"""Fake runners and a fake platform for tests and local trials."""

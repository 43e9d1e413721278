"""Sends a request target byte for byte, also where the URL library would tidy it."""

from aiohttp import ClientRequest
from yarl import URL

MARK = "raw:"


class _Target:
    """A URL whose request target is given; all else is the URL's own."""

    def __init__(self, url, target):
        self._url, self.raw_path_qs = url, target

    def __getattr__(self, name):
        return getattr(self._url, name)


def url_for(address, target):
    """A URL for a raw target; one that the library would change rides in the fragment.

    >>> url_for("h:1", "/a?b").raw_path_qs, url_for("h:1", "/a?").raw_fragment
    ('/a?b', 'raw:/a?')
    """
    url = URL(f"http://{address}{target}", encoded=True)
    if url.raw_path_qs == target:
        return url
    return URL(f"http://{address}/#{MARK}{target}", encoded=True)


class RawTargetRequest(ClientRequest):
    """A request that honours such a fragment."""

    async def send(self, conn):
        """Sends with the raw target."""
        raw = self.original_url.raw_fragment
        if raw.startswith(MARK):
            self.url = _Target(self.url, raw[len(MARK) :])
        return await super().send(conn)

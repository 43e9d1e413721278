"""Sends request targets byte for byte, even if the URL library would normalize them.

``url_for`` builds the URL and ``RawTargetRequest`` sends it. A target that the
library would change is carried in the URL's fragment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from aiohttp import ClientRequest
from yarl import URL

if TYPE_CHECKING:
    from aiohttp import ClientResponse
    from aiohttp.connector import Connection

RAW_TARGET_PREFIX = "raw:"


class _RawTargetUrl:
    """A URL whose request target is replaced; all other attributes are those of the URL."""

    def __init__(self, url: URL, target: str) -> None:
        self._url = url
        self.raw_path_qs = target

    def __getattr__(self, name: str) -> Any:
        return getattr(self._url, name)


def url_for(address: str, target: str) -> URL:
    """Return a URL for a raw target; a target that the library would change is put into the fragment.

    >>> url_for("h:1", "/a?b").raw_path_qs, url_for("h:1", "/a?").raw_fragment
    ('/a?b', 'raw:/a?')
    """
    url = URL(f"http://{address}{target}", encoded=True)
    if url.raw_path_qs == target:
        return url
    return URL(f"http://{address}/#{RAW_TARGET_PREFIX}{target}", encoded=True)


class RawTargetRequest(ClientRequest):
    """An outgoing request that uses the raw target in its URL's fragment, if there is one."""

    async def send(self, conn: Connection) -> ClientResponse:
        """Send the request with its raw target."""
        fragment = self.original_url.raw_fragment
        if fragment.startswith(RAW_TARGET_PREFIX):
            self.url = cast("URL", _RawTargetUrl(self.url, fragment[len(RAW_TARGET_PREFIX) :]))
        return await super().send(conn)

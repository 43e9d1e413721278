"""A minimal HTTP/1.1 client on the event loop's connections, for operators' calls to ``control``."""

import asyncio
import json

from attrs import define

MAX_REDIRECTS = 2
TEMPORARY_REDIRECT = 307


@define(frozen=True, slots=True)
class Response:
    """An HTTP response: status, headers by lower-case name, and the parsed JSON body."""

    status: int
    headers: dict
    body: object


def request_head(method, path, host, length, headers):
    """The bytes of a request before its body.

    >>> request_head("GET", "/a", "h:1", 0, {"X": "1"})
    b'GET /a HTTP/1.1\\r\\nHost: h:1\\r\\nContent-Length: 0\\r\\nX: 1\\r\\n\\r\\n'
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {length}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


async def read_response(reader):
    """Reads one response; raises EOFError when the connection ends before the last byte."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    pairs = (line.split(":", 1) for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Response(int(head[0].split()[1]), headers, json.loads(body) if body else None)


async def call(address, method, path, body, headers, body_after=0.0):
    """Sends a request to a node and reads the response; raises OSError or EOFError on failure.

    ``body_after``: delay before the body is sent, in seconds.
    """
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request_head(method, path, address, len(body), headers))
        if body_after:
            await asyncio.sleep(body_after)
        writer.write(body)
        return await read_response(reader)
    finally:
        writer.close()


def redirected(response):
    """The address that a response redirects to, or None.

    >>> redirected(Response(307, {"location": "http://10.0.0.4:80/x"}, None)), redirected(Response(200, {}, None))
    ('10.0.0.4:80', None)
    """
    if response.status != TEMPORARY_REDIRECT:
        return None
    return response.headers["location"].removeprefix("http://").split("/")[0]

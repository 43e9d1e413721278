"""A small HTTP caller over the loop's connections, as the operators' programs call ``control``."""

import asyncio
import json

from attrs import define

MOST_REDIRECTS = 2
REDIRECT = 307


@define(frozen=True, slots=True)
class Answer:
    """An answer: status, headers by lower-case name, and the body as JSON."""

    status: int
    headers: dict
    body: object


def request_head(method, path, host, length, headers):
    """The bytes before a request's body.

    >>> request_head("GET", "/a", "h:1", 0, {"X": "1"})
    b'GET /a HTTP/1.1\\r\\nHost: h:1\\r\\nContent-Length: 0\\r\\nX: 1\\r\\n\\r\\n'
    """
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {length}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode()


async def read_answer(reader):
    """Reads one answer; an end before its last byte raises EOFError."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    pairs = (line.split(":", 1) for line in head[1:] if line)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(int(head[0].split()[1]), headers, json.loads(body) if body else None)


async def call(address, method, path, body, headers, body_after=0.0):
    """Calls one node; the body may be held up on its way. Raises OSError or EOFError on failure."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request_head(method, path, address, len(body), headers))
        if body_after:
            await asyncio.sleep(body_after)
        writer.write(body)
        return await read_answer(reader)
    finally:
        writer.close()


def redirected(answer):
    """The address that an answer points at, or None.

    >>> redirected(Answer(307, {"location": "http://10.0.0.4:80/x"}, None)), redirected(Answer(200, {}, None))
    ('10.0.0.4:80', None)
    """
    if answer.status != REDIRECT:
        return None
    return answer.headers["location"].removeprefix("http://").split("/")[0]

"""What the operator calls: PUT, PATCH and GET of the configuration."""

import asyncio
import json

from absl import logging
from aiohttp import web
from attrs import define
from mode import Service
from returns.pipeline import is_successful

from sparloom.feed import POLICY, RUNNERS
from sparloom.link import bind
from sparloom.members import ROUTER
from sparloom.metering import figures
from sparloom.policy import apply_patch, check, parse

from .state import State, digest

PATH = "/-/configuration"
MOST = 16 << 20


def reply(status, d, **heads):
    """A JSON reply.

    >>> reply(200, {}).status
    200
    """
    return web.Response(
        status=status,
        body=json.dumps(d, separators=(",", ":")).encode(),
        content_type="application/json",
        headers=heads,
    )


def fault(status, text, **heads):
    """A reply that names a fault.

    >>> fault(400, "no").status
    400
    """
    return reply(status, {"error": text}, **heads)


@define(frozen=True, slots=True)
class Tree:
    """A tree of matchers: path, then method."""

    paths: dict

    def find(self, method, path):
        """The handler, or the status that says why there is none.

        >>> Tree({"/a": {"GET": 1}}).find("GET", "/a"), Tree({"/a": {}}).find("GET", "/a"), Tree({}).find("GET", "/a")
        (1, 405, 404)
        """
        node = self.paths.get(path)
        return 404 if node is None else node.get(method, 405)


class Control(Service):
    """The control address."""

    def __init__(self, up, core, shop):
        super().__init__()
        self.up, self.core, self.shop = up, core, shop
        self.turn = asyncio.Lock()
        self.tree = Tree(
            {
                PATH: {"PUT": self._put, "PATCH": self._patch, "GET": self._get},
                "/-/beliefs": {"GET": self._beliefs},
            }
        )
        self.runner, self.crowd = None, 0

    async def on_start(self):
        server = web.Server(self._handle, access_log=None)
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        await web.SockSite(self.runner, bind(self.up.listen.control)).start()

    async def on_stop(self):
        await self.runner.cleanup()

    def news(self, data):
        """The ledger decided: the policy goes on the shelf."""
        st = State.unpack(data.blob)
        self.crowd = st.crowd
        if st.revision:
            self.shop.renew(POLICY, data.stamp, st.policy)

    def _seen(self):
        """Routers that were seen of late, the dead ones of the last while included."""
        return sum(e.peer.role == ROUTER for e in self.core.swim.table.values())

    def routers(self):
        """By how many the routers' whole is divided: as recorded, or as seen if that is more."""
        return max(self.crowd, self._seen())

    async def _handle(self, req):
        h = self.tree.find(req.method, req.path)
        if isinstance(h, int):
            return fault(h, "no such call")
        return await h(req)

    def _elsewhere(self):
        p = self.core.ledger.primary()
        if p and p.id != self.core.ledger.member.id and p.control and not self.core.ledger.leadership:
            return fault(307, "the primary serves this", Location=f"http://{p.control}{PATH}")
        return fault(503, "no primary is known", **{"Retry-After": "0.2"})

    async def _current(self):
        wait = self.up.bounds.contact / 4
        data = await self.core.confirm(wait) if self.core.ledger.leading() else None
        return data and State.unpack(data.blob)

    async def _get(self, req):
        st = await self._current()
        if st is None:
            return self._elsewhere()
        if not st.revision:
            return fault(404, "no configuration was taken yet")
        return reply(200, st.policy)

    async def _body(self, req):
        if (req.content_length or 0) > MOST:
            return None, fault(413, f"the body is longer than {MOST} bytes")
        raw = bytearray()
        async for part in req.content.iter_any():
            raw += part
            if len(raw) > MOST:
                return None, fault(413, f"the body is longer than {MOST} bytes")
        return bytes(raw), None

    async def _put(self, req):
        return await self._change(req, lambda st, d: check(d))

    async def _patch(self, req):
        return await self._change(req, lambda st, d: apply_patch(st.policy, d).bind(check))

    async def _change(self, req, make):
        raw, bad = await self._body(req)
        if bad:
            return bad
        if not self.core.ledger.leading():
            return self._elsewhere()
        async with self.turn:
            st = await self._current()
            if st is None:
                return self._elsewhere()
            return await self._decide(req, st, raw, make)

    async def _decide(self, req, st, raw, make):
        d = parse(raw)
        if not is_successful(d):
            return fault(400, d.failure())
        d = d.unwrap()
        mark = req.method + digest(d)
        base = req.headers.get("If-Match", "").strip().strip('"')
        if not base.isdigit():
            return fault(400, "If-Match must name the revision that this builds on")
        if isinstance(d, dict) and st.taken(d.get("revision"), mark):
            return reply(200, {"revision": d["revision"]})
        if int(base) != st.revision:
            return fault(412, f"the current revision is {st.revision}", revision=str(st.revision))
        new = make(st, d)
        if not is_successful(new):
            return fault(400, new.failure())
        new = new.unwrap()
        if new["revision"] <= st.revision:
            return fault(400, f"revision {new['revision']} is not above the current {st.revision}")
        blob = st.then(new, mark, self._seen()).pack()
        done = await self.core.write(new["revision"], blob, self.up.bounds.acknowledge / 2)
        if done is None or done.revision != new["revision"]:
            return fault(503, "the outcome is not known; send it again", **{"Retry-After": "0.2"})
        logging.info("control: revision %d is in force.", new["revision"])
        return reply(200, {"revision": new["revision"]})

    async def _beliefs(self, req):
        led = self.core.ledger
        v, policy, listed = led.view, self.shop.held(POLICY), self.shop.held(RUNNERS)
        return reply(
            200,
            {
                "node": self.up.node,
                "role": "controller",
                "key": self.core.key,
                "policy": list(self.shop.shelf.stamp(POLICY)),
                "runners": list(self.shop.shelf.stamp(RUNNERS)),
                "revision": policy["revision"] if policy else 0,
                "fleet": {r.id: "draining" if r.draining else "ready" for r in listed.runners} if listed else {},
                "members": {
                    p.key: ["alive", "suspect", "dead"][p.state]
                    for p in (e.peer for e in self.core.swim.table.values())
                },
                "view": v and {"epoch": v.epoch, "primary": v.primary, "backups": v.backups, "roster": list(v.ids)},
                "leading": led.leading(),
                "sureMs": self.shop.sureness(),
                "meter": figures(),
            },
        )

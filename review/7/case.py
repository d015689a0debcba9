"""One edge of four is partitioned from all workers for some seconds: its connections to them are reset, and new ones are refused."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from harness import *  # noqa

FOLDER = os.path.dirname(os.path.abspath(__file__))
EDGES = 4
CUT_S = 6.0
LOSSES_ALLOWED = 3  # RULES.md, LOST: more than three times
STREAMS = 12  # at a time at the edge that is cut off
PART = "5c1e07a2"  # the part that all prompts share


class ZonedStore(Store):
    """Tells each edge another port of each worker, so that one edge's connections can be cut."""

    def for_edge(self, writer, data):
        number = int(writer.get_extra_info("sockname")[0].rsplit(".", 1)[1]) - 200
        return data.replace(b":8080\"", b":%d\"" % (8080 + number))

    async def read(self, name, start, wait, writer):
        await super().read(name, start, wait, Rewritten(self, writer) if name == "keyed.servers" else writer)

    async def handle(self, method, target, head, body, writer):
        if not (target.startswith("/log-newest") and "keyed.servers" in target):
            return await super().handle(method, target, head, body, writer)
        await asyncio.sleep(self.answer_s)
        topic = self.topic("keyed.servers")
        items = [{"key": key.decode(), "value": base64.b64encode(self.for_edge(writer, value)).decode(), "offset": offset}
                 for key, (offset, value) in sorted(topic.newest.items())]
        self.answer(writer, 200, {"items": items, "has_more": False, "end_offset": topic.end()})
        return True


class Rewritten:
    def __init__(self, store, writer):
        self.store, self.writer = store, writer

    def write(self, data):
        self.writer.write(self.store.for_edge(self.writer, data))

    def get_extra_info(self, name):
        return self.writer.get_extra_info(name)


class Reachable(Engine):
    """Has a port for each edge."""

    async def listen(self, host, port):
        self.ports = {}
        for number in range(EDGES):
            self.ports[number] = await asyncio.start_server(self.serve, host, port + number, backlog=1024, limit=1 << 20)
        self.servers = list(self.ports.values())

    def cut_off(self, number):
        self.ports[number].close()
        for it in list(self.writers):
            if it.get_extra_info("sockname")[1] == self.port + number:
                it.transport.abort()

    async def heal(self, number):
        self.ports[number] = await asyncio.start_server(self.serve, self.host, self.port + number, backlog=1024, limit=1 << 20)
        self.servers.append(self.ports[number])


async def client(world, edge, until, results):
    """Asks for one stream after the other on a connection that is kept."""
    while now() < until:
        try:
            reader, writer = await asyncio.open_connection(*edge.front, limit=1 << 20)
        except OSError:
            await asyncio.sleep(0.2)
            continue
        kept = False
        try:
            while now() < until:
                attempt = world.new_attempt()
                sent = now()
                world.record("sent", attempt=attempt, edge=edge.name, kept=kept)
                writer.write(("POST /plan/x HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 8000\r\nX-Model: m\r\nX-Token-Count: 200,40\r\n"
                              "X-Prompt-Prefix: %s:150,%x:50\r\nContent-Length: 0\r\n\r\n" % (attempt, PART, random.getrandbits(32))).encode())
                body = None
                try:
                    head = await asyncio.wait_for(read_head(reader), 9)
                    body = await asyncio.wait_for(read_body(reader, head, True), 9)
                    status = head.first.split(" ")[1]
                except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError):
                    status = "cut"
                world.record("answer", attempt=attempt, status=status, events=body.count(b"data:") if body else 0)
                results.append((sent, edge.number, kept, attempt, status))
                if status == "cut":
                    break
                kept = True
                if head.get("Connection").lower() == "close":
                    break
                await asyncio.sleep(0.05)
        finally:
            writer.close()


async def case(world):
    world.store = ZonedStore(world.record)
    workers = [Reachable(world, "m-%d" % n, "models", "%s.%d" % (base_host(), 100 + n), 8080, events=40) for n in range(5)]
    world.workers = workers
    world.configure([route("/plan/", "streaming", "models", 8000, target_latency_ms=1000, sticky=True, resumable=True, gap_target_ms=500)],
                    [service("models", engine={"slots": 64, "kv_capacity_tokens": 80000, "kv_token_bytes": 18432})])
    await world.start(edges=EDGES)
    results = []
    until = now() + 28
    clients = [asyncio.create_task(client(world, edge, until, results)) for edge in world.edges for _ in range(STREAMS if edge.number == 0 else 4)]
    await asyncio.sleep(12)
    cut_at = now()
    if TROUBLE:
        world.record("cut_off", edge=world.edges[0].name)
        for it in workers:
            it.cut_off(0)
        await asyncio.sleep(CUT_S)
        for it in workers:
            await it.heal(0)
        world.record("healed")
    await asyncio.gather(*clients)
    reached = {attempt for it in workers for _, attempt in it.runs}
    lost = [it for it in results if it[1] == 0 and it[2] and it[4] == "cut" and it[3] in reached]
    whole = [it for it in results if it[4] == "200"]
    world.record("requests", whole=len(whole), cut_on_kept_connections=len(lost), under_way_at_the_cut=STREAMS, after_the_cut=len([1 for it in lost if it[0] > cut_at]))
    if not whole:
        raise CannotRun("nothing was served")
    return BROKEN if len(lost) > LOSSES_ALLOWED else HELD


main(case, FOLDER)

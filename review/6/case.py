"""A worker of a brittle service hands out one answer with wrong bytes in X-Instance-Load, through an entry VM that has few requests."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand-ins-2"))
from harness import *  # noqa

FOLDER = os.path.dirname(os.path.abspath(__file__))
TIMEOUT_MS = 1000  # of the route
SPOILED = "0,4294967295,8"  # a count of waiting requests that went one below zero
QUIET = 0  # number of the entry VM with few requests, through which the answer goes


class Brittle(Worker):
    brittle = False

    def words(self):
        return [("Server-Brittle", "3")] if self.brittle else []

    def fields(self, head):
        fields = super().fields(head)
        if head.get("X-Attempt-Id") in self.world.spoiled:
            self.record("spoiled_answer", worker=self.id, attempt=head.get("X-Attempt-Id"), load=SPOILED)
            fields = [(name, SPOILED if name == "X-Instance-Load" else value) for name, value in fields]
        return fields


async def client(world, edge, until, results):
    while now() < until:
        attempt = world.new_attempt()
        if edge.number == QUIET and world.spoils_next:
            world.spoils_next = False
            world.spoiled.add(attempt)
        sent = now()
        world.record("sent", attempt=attempt, edge=edge.name)
        task = asyncio.create_task(request(edge.front, "GET", "/app/x", [("X-Attempt-Id", attempt), ("X-Deadline-Ms", 2000)]))
        done, _ = await asyncio.wait([task], timeout=TIMEOUT_MS / 1000 + 0.5)
        answered = None
        if done:
            try:
                answer = task.result()
                answered = now() - sent
                world.record("answer", attempt=attempt, status=answer.status, ms=int(answered * 1000))
            except (OSError, asyncio.IncompleteReadError):
                world.record("closed_without_answer", attempt=attempt)
        else:
            world.record("no_answer_half_a_second_after_the_timeout", attempt=attempt)
            task.cancel()
        results.append((sent, answered))
        await asyncio.sleep(2.5 if edge.number == QUIET else 0.1)


async def case(world):
    workers = [Brittle(world, "i-%d" % n, "app", "%s.%d" % (base_host(), 100 + n), 8080) for n in range(3)]
    world.workers = workers
    world.spoiled = set()  # attempt ids
    world.spoils_next = False
    world.configure([route("/app/", "safe", "app", TIMEOUT_MS)], [service("app")])
    await world.start(edges=3)
    results = []
    until = now() + 24
    clients = [asyncio.create_task(client(world, edge, until, results)) for edge in world.edges for _ in range(1 if edge.number == QUIET else 3)]
    await asyncio.sleep(1)
    for it in workers:
        it.brittle = True
    world.record("brittle")
    await asyncio.sleep(8)
    spoiled_at = now()
    world.spoils_next = TROUBLE
    for _ in range(6):
        await asyncio.sleep(1.5)
        ready = await asyncio.gather(*(it.is_ready() for it in world.edges))
        world.record("readiness", ready=ready)
    await asyncio.gather(*clients)
    late = [(sent, answered) for sent, answered in results if sent > spoiled_at and (answered is None or answered >= TIMEOUT_MS / 1000)]
    unanswered = [it for it in late if it[1] is None]
    served_before = len([1 for sent, answered in results if sent <= spoiled_at and answered is not None])
    world.record("requests", answered_before=served_before, unanswered_at_the_timeout=len(late), of_these_none_half_a_second_later=len(unanswered),
                 not_ready_at_the_end=ready.count(False))
    if not served_before:
        raise CannotRun("nothing was answered")
    return BROKEN if len(unanswered) > 8 and len(unanswered) * 2 > len(late) else HELD


main(case, FOLDER)

"""Backends answer without a length; of two of three, a part of the answers is broken off by a reset."""
import asyncio
import os
import socket
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, ".."))
import harness as h  # noqa: E402
import backend  # noqa: E402

REQUESTS = 3000
CALLERS = 4                  # at a time
BACKENDS, FAULTY = 3, 2      # a share of 0.67


async def main(world):
    store = h.Store(world)
    await asyncio.sleep(0.3)
    await store.put("op", "config", h.config(5, [("read", "/read/", "unsafe", "plain", 3000)], [("plain", False)]))
    entries = [h.Backend(world, store, f"i-{n}", "plain", "meseta-a", slots=1) for n in range(BACKENDS)]
    for n, entry in enumerate(entries):
        listener = socket.create_server(entry.address, backlog=200)
        world.spawn(entry.ident, [sys.executable, os.path.join(CASE, "backend.py"), str(listener.fileno()), entry.ident,
                                  world.record_file.name, str(world.start), str(int(h.TROUBLE and n < FAULTY)), str(n)],
                    keep=[listener.fileno()])
        await entry.register()
    gateway = h.Gateway(world, store, 1, "meseta-a")
    gateway.start()
    tasks = [asyncio.ensure_future(entry.beat()) for entry in entries]
    await h.until(gateway.is_ready, 20, "ready")
    await asyncio.sleep(1)
    client, short, counts, rest = h.Client(world), [], {}, iter(range(REQUESTS))

    async def caller():
        for n in rest:
            attempt, status, answer, body = await client.send(gateway, f"/read/{n}", method="POST", body=b"x")
            counts[status] = counts.get(status, 0) + 1
            whole = backend.answer_to(answer.get("x-instance-id"), attempt)[1]
            if status == 200 and body != whole:
                short.append(attempt)
                world.record(f"{attempt}: 200 with X-Response-Seal {answer.get('x-response-seal')} and Content-Length "
                             f"{answer.get('content-length')}; the backend's body has {len(whole)} bytes")
    await asyncio.gather(*[caller() for _ in range(CALLERS)])
    world.closing = True
    print(f"answers {counts}; {len(short)} answers with 200 and a part of the backend's body")
    world.record(f"answers {counts}; {len(short)} with 200 and a part of the backend's body")
    return not short


h.run(CASE, main)

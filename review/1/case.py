"""Backends answer without a length; of three of six, a part of the answers is broken off by a reset."""
import asyncio
import os
import socket
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, ".."))
import harness as h  # noqa: E402
import backend  # noqa: E402

TROUBLE_S = 5.0              # `garble` with how = "unframed"
CALLERS = 10                 # at a time
BACKENDS, FAULTY = 6, 3      # a share of 0.5, as where the site file names none


async def main(world):
    store = h.Store(world)
    await asyncio.sleep(0.3)
    await store.put("op", "config", h.config(5, [("read", "/read/", "unsafe", "plain", 3000)], [("plain", False)]))
    entries = [h.Backend(world, store, f"i-{n}", "plain", "meseta-a", slots=1) for n in range(BACKENDS)]
    for n, entry in enumerate(entries):
        listener = socket.create_server(entry.address, backlog=200)
        world.spawn(entry.ident, [sys.executable, os.path.join(CASE, "backend.py"), str(listener.fileno()), entry.ident,
                                  world.record_file.name, str(world.start), os.path.join(world.work, "trouble") if n < FAULTY else "-", str(n)],
                    keep=[listener.fileno()])
        await entry.register()
    gateway = h.Gateway(world, store, 1, "meseta-a")
    gateway.start()
    tasks = [asyncio.ensure_future(entry.beat()) for entry in entries]
    await h.until(gateway.is_ready, 20, "ready")
    await asyncio.sleep(1)
    client, short, counts = h.Client(world), [], {}
    end = time.monotonic() + TROUBLE_S + 2

    async def caller():
        while time.monotonic() < end:
            attempt, status, answer, body = await client.send(gateway, f"/read/{client.n}", method="POST", body=b"x")
            counts[status] = counts.get(status, 0) + 1
            whole = backend.answer_to(answer.get("x-instance-id"), attempt)[1]
            if status == 200 and body != whole:
                short.append(attempt)
                world.record(f"{attempt}: 200 with X-Response-Seal {answer.get('x-response-seal')} and Content-Length "
                             f"{answer.get('content-length')}; the backend's body has {len(whole)} bytes")

    async def trouble():
        if h.TROUBLE:
            path = os.path.join(world.work, "trouble")
            world.record(f"trouble: a part of the answers of {FAULTY} of {BACKENDS} backends is reset for {TROUBLE_S} s")
            open(path, "w", encoding="utf-8").close()
            await asyncio.sleep(TROUBLE_S)
            os.remove(path)
            world.record("the trouble ends")
    await asyncio.gather(trouble(), *[caller() for _ in range(CALLERS)])
    world.closing = True
    print(f"answers {counts}; {len(short)} answers with 200 and a part of the backend's body")
    world.record(f"answers {counts}; {len(short)} with 200 and a part of the backend's body")
    return not short


h.run(CASE, main)

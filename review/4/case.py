"""One of four backends spoils the status line of a part of its answers."""
import asyncio
import os
import random
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h  # noqa: E402

REQUESTS = 200
SPOILT_SHARE = 0.4           # of the answers of one backend: `garble` with x = 0.4
STATUS_LINE = re.compile(r"HTTP/1\.[01] [1-5][0-9][0-9]( .*)?")


async def main(world):
    rng = random.Random(1)
    store = h.Store(world)
    await asyncio.sleep(0.3)
    await store.put("op", "config", h.config(5, [("order", "/order/", "unsafe", "plain", 3000)], [("plain", False)]))
    backends = [h.Backend(world, store, f"i-{n}", "plain", "meseta-a") for n in range(4)]
    for b in backends:
        await b.listen()
        await b.register()
    gateway = h.Gateway(world, store, 1, "meseta-a")
    gateway.start()
    tasks = [asyncio.ensure_future(b.beat()) for b in backends]
    await h.until(gateway.is_ready, 20, "ready")
    await asyncio.sleep(1)

    async def spoilt(writer, path, headers):
        """Runs the request and answers as usual, but for the digits of the status code."""
        if not path.startswith("/order/") or rng.random() >= SPOILT_SHARE:
            return False
        status, extra, text = await backends[0]._request(f"POST {path} HTTP/1.1", headers, b"")
        head = "HTTP/1.1 000 Answer\r\n" + "".join(f"{n}: {v}\r\n" for n, v in extra.items())
        world.record(f"i-0 answers {headers.get('x-attempt-id')} with 'HTTP/1.1 000 Answer' instead of {status}")
        writer.write(head.encode() + f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()
        return True
    if h.TROUBLE:
        backends[0].answer = spoilt
    client, bad = h.Client(world), 0
    for n in range(REQUESTS):
        attempt, status, answer, _ = await client.send(gateway, f"/order/{n}", method="POST", body=b"one last")
        line = answer.get(":line", "")
        if line and not STATUS_LINE.fullmatch(line):
            bad += 1
            world.record(f"the client's answer to {attempt} begins with {line!r}, "
                         f"X-Response-Seal {answer.get('x-response-seal')}")
        await asyncio.sleep(0.02)
    world.closing = True
    world.record(f"{bad} of {REQUESTS} answers are no answers in the protocol")
    print(f"{bad} of {REQUESTS} answers are no answers in the protocol")
    return bad == 0


h.run(os.path.dirname(os.path.abspath(__file__)), main)

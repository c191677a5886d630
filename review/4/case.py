"""One of four backends spoils the status line of a part of its answers."""
import asyncio
import os
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h  # noqa: E402

TROUBLE_S = 5.5              # `garble` on the site: for_s = 5.5, share = 0.35, x = 0.02
SPOILT_EACH = 50             # one answer in so many
CALLERS = 8                  # at a time
STATUS_LINE = re.compile(r"HTTP/1\.[01] [1-5][0-9][0-9]( .*)?")


async def main(world):
    store = h.Store(world)
    await asyncio.sleep(0.3)
    await store.put("op", "config", h.config(5, [("order", "/order/", "unsafe", "plain", 3000)], [("plain", False)]))
    backends = [h.Backend(world, store, f"i-{n}", "plain", "meseta-a", work_s=0.01) for n in range(4)]
    for b in backends:
        await b.listen()
        await b.register()
    gateway = h.Gateway(world, store, 1, "meseta-a")
    gateway.start()
    tasks = [asyncio.ensure_future(b.beat()) for b in backends]
    await h.until(gateway.is_ready, 20, "ready")
    await asyncio.sleep(1)

    counted = []

    async def spoilt(writer, path, headers):
        """Runs the request and answers as usual, but for the digits of the status code."""
        if not path.startswith("/order/"):
            return False
        counted.append(path)
        if len(counted) % SPOILT_EACH:
            return False
        status, extra, text = await backends[0]._request(f"POST {path} HTTP/1.1", headers, b"")
        head = "HTTP/1.1 000 Answer\r\n" + "".join(f"{n}: {v}\r\n" for n, v in extra.items())
        world.record(f"i-0 answers {headers.get('x-attempt-id')} with 'HTTP/1.1 000 Answer' instead of {status}")
        writer.write(head.encode() + f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
        await writer.drain()
        return True
    client, bad, end = h.Client(world), [], time.monotonic() + TROUBLE_S + 2

    async def caller():
        while time.monotonic() < end:
            attempt, _, answer, _ = await client.send(gateway, f"/order/{client.n}", method="POST", body=b"one last")
            line = answer.get(":line", "")
            if line and not STATUS_LINE.fullmatch(line):
                bad.append(attempt)
                world.record(f"the client's answer to {attempt} begins with {line!r}, "
                             f"X-Response-Seal {answer.get('x-response-seal')}")

    async def trouble():
        if h.TROUBLE:
            world.record(f"trouble: i-0 spoils a part of its answers for {TROUBLE_S} s")
            backends[0].answer = spoilt
            await asyncio.sleep(TROUBLE_S)
            backends[0].answer = None
            world.record("the trouble ends")
    await asyncio.gather(trouble(), *[caller() for _ in range(CALLERS)])
    world.closing = True
    world.record(f"{len(bad)} of {client.n} answers are no answers in the protocol")
    print(f"{len(bad)} of {client.n} answers are no answers in the protocol")
    return not bad


h.run(os.path.dirname(os.path.abspath(__file__)), main)

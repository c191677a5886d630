"""Backends answer without a length; of two of three, a part of the answers is broken off by a reset."""
import asyncio
import os
import random
import socket
import struct
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h  # noqa: E402

REQUESTS = 3000
CALLERS = 4                  # at a time
ANSWER_BYTES = 40000         # head and body
BLOCK = 4096                 # the backend writes its answers in blocks of this size
BACKENDS, FAULTY = 3, 2      # a share of 0.67
BROKEN_SHARE = 0.05          # of the answers: `garble` with how = "unframed", x = 0.05


class Streaming:
    """A backend of a service without keys that writes answers without a length, block by block."""

    def __init__(self, world, entry, seed, bodies):
        self.world, self.entry, self.bodies = world, entry, bodies
        self.rng = random.Random(seed)
        self.trouble = False
        self.listener = socket.create_server(entry.address, backlog=200)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            conn, _ = self.listener.accept()
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(conn,), daemon=True).start()

    def serve(self, conn):
        data = b""
        while b"\r\n\r\n" not in data:
            part = conn.recv(65536)
            if not part:
                conn.close()
                return
            data += part
        line, *lines = data.decode("latin1").split("\r\n")
        headers = {n.strip().lower(): v.strip() for n, _, v in (x.partition(":") for x in lines)}
        attempt = headers.get("x-attempt-id", "")
        head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {self.entry.ident}\r\n"
                f"X-Response-Seal: seal-{attempt}\r\nConnection: close\r\n\r\n").encode()
        body = bytes(self.rng.choices(b"0123456789abcdef", k=ANSWER_BYTES - len(head)))
        answer = head + body
        self.bodies[attempt] = body
        blocks = 1 << self.rng.randrange(4)
        broken = self.trouble and attempt and self.rng.random() < BROKEN_SHARE
        self.world.record(f"{self.entry.ident} runs {attempt} {line.split(' ')[1]}" +
                          (f", answer reset after {blocks * BLOCK} bytes" if broken else ""))
        if not broken:
            conn.sendall(answer)
            conn.close()
            return
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        for n in range(blocks):
            conn.send(answer[n * BLOCK:(n + 1) * BLOCK])
        conn.close()  # resets the connection


async def main(world):
    store = h.Store(world)
    await asyncio.sleep(0.3)
    await store.put("op", "config", h.config(5, [("read", "/read/", "unsafe", "plain", 3000)], [("plain", False)]))
    bodies = {}
    entries = [h.Backend(world, store, f"i-{n}", "plain", "meseta-a", slots=4) for n in range(BACKENDS)]
    backends = [Streaming(world, entry, n, bodies) for n, entry in enumerate(entries)]
    for entry in entries:
        await entry.register()
    gateway = h.Gateway(world, store, 1, "meseta-a")
    gateway.start()
    tasks = [asyncio.ensure_future(entry.beat()) for entry in entries]
    await h.until(gateway.is_ready, 20, "ready")
    await asyncio.sleep(1)
    for backend in backends[:FAULTY]:
        backend.trouble = h.TROUBLE
    client, short, counts, rest = h.Client(world), [], {}, iter(range(REQUESTS))

    async def caller():
        for n in rest:
            attempt, status, answer, body = await client.send(gateway, f"/read/{n}", method="POST", body=b"x")
            counts[status] = counts.get(status, 0) + 1
            if status == 200 and body != bodies[attempt]:
                short.append(attempt)
                world.record(f"{attempt}: 200 with X-Response-Seal {answer.get('x-response-seal')} and Content-Length "
                             f"{answer.get('content-length')}; the backend's body has {len(bodies[attempt])} bytes")
    await asyncio.gather(*[caller() for _ in range(CALLERS)])
    world.closing = True
    print(f"answers {counts}; {len(short)} answers with 200 and a part of the backend's body")
    world.record(f"answers {counts}; {len(short)} with 200 and a part of the backend's body")
    return not short


h.run(os.path.dirname(os.path.abspath(__file__)), main)

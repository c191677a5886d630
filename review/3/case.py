"""While the store is down, a backend that holds keys crashes for good and its address goes to another service."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h  # noqa: E402

REUSE_AFTER_S = 2.0          # bound reuse-after
OUTAGE_S = 8.0               # platform_down, 9.0 s at most in the site file
OVERLAP_S = 0.5              # rule OWNER
WATCH_S = 10


KEYS = range(0, 65536, 64)   # at which it is looked


def fences(backend, now):
    """The keys of KEYS that the backend holds now, with their epoch numbers."""
    return {k: f for a, b, f, end in backend.holds if now < end
            for k in range(a + -a % KEYS.step, b + 1, KEYS.step)}


async def main(world):
    store = h.Store(world)
    await asyncio.sleep(0.3)
    await store.put("op", "config", h.config(5, [("look", "/look/", "safe", "keys", 3000),
                                                 ("find", "/find/", "safe", "more", 3000)],
                                             [("keys", True), ("more", True)]))
    zones = list(h.ZONES)
    backends = [h.Backend(world, store, f"i-{service}-{n}", service, zones[n % 4], keyed=True)
                for service in ("keys", "more") for n in range(4)]
    for b in backends:
        await b.listen()
        await b.register()
    gateways = [h.Gateway(world, store, n + 1, zones[n]) for n in range(4)]
    for g in gateways:
        g.start()
    tasks = [asyncio.ensure_future(b.beat()) for b in backends]
    client = h.Client(world)

    async def served():
        return all([(await client.send(g, p, key=k))[1] == 200 for g in gateways for k in (1, 30000, 65000)
                    for p in ("/look/0", "/find/0")])
    await h.until(served, 20, "all keys served")
    await asyncio.sleep(3)
    crashed = backends[0]
    crashed_at = time.monotonic()
    heir = h.Backend(world, store, "i-more-heir", "more", crashed.zone, keyed=True)
    if h.TROUBLE:
        await store.switch(refuse=503)

        async def end_outage():
            # The entry of the crashed backend has lapsed meanwhile.
            await store.drop("servers", crashed.ident)
            await store.switch(refuse=0)
        asyncio.get_running_loop().call_later(OUTAGE_S, lambda: asyncio.ensure_future(end_outage()))
        await asyncio.sleep(1)
        crashed_at = time.monotonic()
        crashed.crash()
        heir.address = crashed.address
    await asyncio.sleep(max(0.0, crashed_at + REUSE_AFTER_S + 0.01 - time.monotonic()))
    await heir.listen()
    world.record(f"{heir.ident} of service more starts at port {heir.address[1]}")
    tasks.append(asyncio.ensure_future(heir.beat()))
    others = [b for b in backends if b.service == "more"]
    longest, since, worst, end = 0.0, {}, None, time.monotonic() + WATCH_S
    while time.monotonic() < end:
        now = time.monotonic()
        mine = fences(heir, now)
        for b in others:
            theirs = fences(b, now)
            both = mine.keys() & theirs.keys()
            for key in [k for i, k in since if i == b.ident and k not in both]:
                del since[b.ident, key]
            for key in both:
                began = since.setdefault((b.ident, key), now)
                if now - began > longest:
                    longest, worst = now - began, (b.ident, key, mine[key], theirs[key])
        await asyncio.sleep(0.02)
    world.closing = True
    if worst:
        world.record(f"{heir.ident} (epoch {worst[2]}) and {worst[0]} (epoch {worst[3]}), both of service more and up, "
                     f"held key {worst[1]} at the same time for {longest:.2f} s")
    print(f"longest time that two backends of one service held the same key: {longest:.2f} s")
    return longest <= OVERLAP_S


h.run(os.path.dirname(os.path.abspath(__file__)), main)

"""Sends requests with keys to gateways and prints how many are served.

Usage: storesilent_client.py SECONDS FRONT...; writes each request that is not served, with its time
since the start and its gateway, to standard error. The last line is "SERVED SENT".
"""
import asyncio
import random
import sys
import time

PER_SECOND = 60
KEYS = list(range(500, 65536, 2000))
DEADLINE_MS = 3000


async def send(front, key, number):
    host, port = front.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(("GET /look/1 HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: s%d-%d\r\n"
                      "x-time-remaining: %d\r\nx-shard-key: %d\r\nconnection: close\r\n\r\n" %
                      (number, random.getrandbits(40), DEADLINE_MS, key)).encode())
        line = await asyncio.wait_for(reader.readline(), DEADLINE_MS / 1000 + 1)
        return line.split()[1].decode() if line else "closed"
    finally:
        writer.close()


async def one(begin, front, number, results):
    at = time.monotonic() - begin
    try:
        status = await send(front, random.choice(KEYS), number)
    except (OSError, asyncio.TimeoutError) as e:
        status = type(e).__name__
    results.append(status)
    if status != "200":
        print("%.2f s: %s at %s" % (at, status, front), file=sys.stderr)


async def main():
    seconds, fronts = float(sys.argv[1]), sys.argv[2:]
    random.seed(1)
    begin = time.monotonic()
    tasks, results = [], []
    while time.monotonic() - begin < seconds:
        tasks.append(asyncio.ensure_future(one(begin, random.choice(fronts), len(tasks), results)))
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*tasks)
    print(results.count("200"), len(results))


asyncio.run(main())

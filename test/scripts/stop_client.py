"""Sends requests slowly to a gateway that is told to stop meanwhile.

Usage: stop_client.py IP:PORT PID; sends SIGTERM to PID and prints the answers in the order of the table.
"""
import os
import signal
import socket
import sys
import threading
import time

# Name, method, path, ms that the caller waits, seconds after SIGTERM at which it begins and at which it ends.
REQUESTS = [
    ("order that began early and came whole late", "POST", "/order/1", 3000, 2.5, 4.5),
    ("lookup that came whole late and can wait", "GET", "/read/1", 3000, 2.5, 4.5),
    ("lookup that came whole late and ends in time", "GET", "/look/1", 800, 2.5, 4.5),
    ("order that came before and outlasts the stop", "POST", "/order/2", 3000, 2.6, 2.7),
    ("lookup of the first second", "GET", "/look/2", 3000, 0.5, 0.6),
]


def send(request, address, start, results):
    name, method, path, wait, begin, end = request
    host, port = address.split(":")
    head = (f"{method} {path} HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: {path[1:]}-{os.getpid()}\r\n"
            f"x-time-remaining: {wait}\r\nx-shard-key: 5\r\ncontent-length: {1 if method == 'POST' else 0}\r\n\r\n")
    data = (head + ("x" if method == "POST" else "")).encode()
    time.sleep(max(0, start + begin - time.monotonic()))
    sock = socket.create_connection((host, int(port)), timeout=10)
    sock.sendall(data[:20])
    time.sleep(max(0, start + end - time.monotonic()))
    sent = time.monotonic()
    sock.sendall(data[20:])
    answer = b""
    try:
        while b"\r\n" not in answer:
            part = sock.recv(65536)
            if not part:
                break
            answer += part
    except OSError:
        pass
    status = answer.split(b" ")[1].decode() if b"\r\n" in answer else "closed without an answer"
    early = "at once" if time.monotonic() - sent < 0.4 else "later"
    results[name] = f"{name}: {status} {early}"


start = time.monotonic()
os.kill(int(sys.argv[2]), signal.SIGTERM)
results = {}
threads = [threading.Thread(target=send, args=(r, sys.argv[1], start, results)) for r in REQUESTS]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
for request in REQUESTS:
    print(results.get(request[0], f"{request[0]}: no connection"))

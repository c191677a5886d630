"""Clients that keep coming to a gateway that stops: each sends requests over its connection, opens a new one when that
is closed, and goes on until the process is gone.

Usage: stopcling_client.py IP:PORT PID LEDGER CONTROL; SIGTERM is sent after a second. LEDGER names the requests that ran.
From 2.8 s after it the upstream, whose control address is CONTROL, needs longer than the process lasts.
"""
import os
import signal
import socket
import sys
import threading
import time
import urllib.request

CLIENTS = 12
BEFORE_STOP_S = 1.0
SLOW_AFTER_S = 2.8
LIMIT_S = 20
LOSS_SLACK_S = 0.2  # a request may cross a close by so much
address = sys.argv[1].rsplit(":", 1)
pid = int(sys.argv[2])
gone = threading.Event()
lock = threading.Lock()
answered, closed = {}, {}  # request id: status; seconds between the last byte sent and the close


def exchange(sock, rid, kept):
    """Sends a request; returns whether the connection may be used again."""
    sock.sendall(f"POST /order/{rid} HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: {rid}\r\n"
                 f"x-time-remaining: 3000\r\ncontent-length: 4\r\n\r\nbody".encode())
    sent, data = time.monotonic(), b""
    try:
        while b"\r\n\r\n" not in data or len(data) < whole(data):
            part = sock.recv(65536)
            if not part:
                raise OSError("closed")
            data += part
    except OSError:
        with lock:
            closed[rid] = time.monotonic() - sent
        return False
    with lock:
        answered[rid] = int(data.split()[1])
    return kept and b"connection: close" not in data.lower()


def whole(data):
    head, _, _ = data.partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(head) + 4 + int(line[15:])
    return len(head) + 4


def client(number):
    n = 0
    while not gone.is_set():
        try:
            with socket.create_connection((address[0], int(address[1])), timeout=LIMIT_S) as sock:
                go_on = True
                while go_on and not gone.is_set():
                    n += 1
                    go_on = exchange(sock, f"c{number}-{n}-{pid}", number % 3 != 0)
                    # A third of the clients stay idle between requests.
                    time.sleep(0.3 if number % 3 == 1 else 0.002)
        except OSError:
            time.sleep(0.01)


def is_running():
    """Whether the process lives; the shell that started it may not have waited for it yet."""
    try:
        with open(f"/proc/{pid}/stat", encoding="ascii") as f:
            return f.read().rsplit(")", 1)[1].split()[0] != "Z"
    except (FileNotFoundError, ProcessLookupError):
        return False


threads = [threading.Thread(target=client, args=(n,), daemon=True) for n in range(CLIENTS)]
for t in threads:
    t.start()
time.sleep(BEFORE_STOP_S)
os.kill(pid, signal.SIGTERM)
time.sleep(SLOW_AFTER_S)
urllib.request.urlopen(f"http://{sys.argv[4]}/control", b'{"work_ms":8000}').read()
end = time.monotonic() + LIMIT_S
while time.monotonic() < end:
    if not is_running():
        break
    time.sleep(0.01)
gone.set()
for t in threads:
    t.join(LIMIT_S)
with open(sys.argv[3], encoding="utf-8") as f:
    ran = [line.split()[2] for line in f if line.startswith("run ")]
lost = [rid for rid in closed if rid in ran]
late = [rid for rid, s in closed.items() if s > LOSS_SLACK_S]
false = [rid for rid, status in answered.items() if status in (429, 503) and rid in ran]
print("ran twice:", len(ran) - len(set(ran)))
print("ran and closed without an answer:", len(lost))
print("closed without an answer later than a close may cross:", len(late))
print("refused though run:", len(false))
print("answered before and during the stop:", "yes" if len(answered) > 100 else len(answered))

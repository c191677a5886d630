"""TCP proxy on loopback that injects network faults into its connections.

Modes of start_fault: "reset" resets all open connections at once; "delay" delivers data DELAY_S
later; "silent" forwards nothing; "oneway" forwards only what callers send. Connections that were
silent or oneway are closed when the fault ends, without the data that was not forwarded: a network
drops the packets of a connection whose endpoints have given up on it.

Two modes change what an upstream sends: "copy" delivers it a second time, COPY_DELAYS_S later;
"endless" turns each answer into one whose body does not end before the connection is closed.
"""
import random
import re
import select
import socket
import struct
import threading
import time

DELAY_S = 0.12
COPY_DELAYS_S = (0.0, 0.005, 0.03, 0.2)
ENDLESS_CHUNK = b"fffffff\r\n"
FILLER = b"x" * 65536


class Proxy(threading.Thread):
    def __init__(self, address, target):
        super().__init__(daemon=True)
        self.address, self.target = address, target
        self.mode = None  # current fault, see start_fault
        self.endless = set()  # callers' sockets that get filler until they are closed
        self.stopped = False
        self.peers = {}  # socket: (socket of the other side, whether the first is the caller's)
        self.blocked = set()  # sockets of silent and oneway connections
        self.delayed = []  # (time of delivery, receiving socket, data)
        self.lock = threading.Lock()
        host, port = address.split(":")
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, int(port)))
        self.listener.listen(128)

    def start_fault(self, mode):
        with self.lock:
            if mode == "reset":
                for s in list(self.peers):
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.close_connection(s)
                return
            self.mode = mode
            if mode in ("silent", "oneway"):
                self.blocked.update(self.peers)

    def end_fault(self):
        with self.lock:
            self.mode = None
            for s in list(self.blocked | self.endless):
                self.close_connection(s)
            self.blocked.clear()

    def stop(self):
        self.stopped = True

    def close_connection(self, s):
        if s not in self.peers:
            return
        other = self.peers[s][0]
        for x in (s, other):
            self.peers.pop(x, None)
            self.blocked.discard(x)
            self.endless.discard(x)
            x.close()
        self.delayed = [d for d in self.delayed if d[1] is not s and d[1] is not other]

    def accept(self):
        caller, _ = self.listener.accept()
        host, port = self.target.split(":")
        try:
            upstream = socket.create_connection((host, int(port)), 0.2)
        except OSError:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            caller.close()
            return
        for s in (caller, upstream):
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            s.settimeout(2)
        self.peers[caller] = (upstream, True)
        self.peers[upstream] = (caller, False)
        if self.mode in ("silent", "oneway"):
            self.blocked.update((caller, upstream))

    def is_blocked(self, s):
        """Whether data received on the socket must not be forwarded now."""
        return s in self.blocked and not (self.mode == "oneway" and self.peers[s][1])

    def relay(self, s):
        try:
            data = s.recv(65536)
        except OSError:
            data = b""
        other = self.peers[s][0]
        if not data:
            self.close_connection(s)
        elif self.mode == "delay":
            self.delayed.append((time.time() + DELAY_S, other, data))
        elif self.mode == "copy" and not self.peers[s][1]:
            self.send(other, data)
            self.delayed.append((time.time() + random.choice(COPY_DELAYS_S), other, data))
        elif self.mode == "endless" and not self.peers[s][1]:
            self.start_endless(other, data)
        else:
            self.send(other, data)

    def start_endless(self, s, data):
        if s in self.endless:
            return
        head, _, body = data.partition(b"\r\n\r\n")
        head = re.sub(rb"(?i)content-length: *[0-9]+", b"transfer-encoding: chunked", head)
        self.send(s, head + b"\r\n\r\n" + ENDLESS_CHUNK + body)
        if s in self.peers:
            s.setblocking(False)
            self.endless.add(s)

    def send_filler(self, s):
        try:
            s.send(FILLER)
        except BlockingIOError:
            pass
        except OSError:
            self.close_connection(s)

    def send(self, s, data):
        try:
            s.sendall(data)
        except OSError:
            self.close_connection(s)

    def run(self):
        while not self.stopped:
            with self.lock:
                blocked_now = {s for s in self.peers if self.is_blocked(s)}
                readers = [self.listener] + [s for s in self.peers if s not in blocked_now]
            ready, _, _ = select.select(readers, [], [], 0.02)
            with self.lock:
                for s in ready:
                    if s is self.listener:
                        self.accept()
                    elif s in self.peers and not self.is_blocked(s):
                        self.relay(s)
                for s in list(self.endless):
                    self.send_filler(s)
                now = time.time()
                due = [d for d in self.delayed if d[0] <= now]
                self.delayed = [d for d in self.delayed if d[0] > now]
                for _, s, data in due:
                    if s in self.peers:
                        self.send(s, data)
        with self.lock:
            for s in list(self.peers):
                self.close_connection(s)
            self.listener.close()

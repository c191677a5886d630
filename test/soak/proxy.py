"""A TCP proxy on the loopback whose connections can be delayed, reset, cut one way or silenced.

What a silenced or cut connection holds back is never delivered: when the fault ends the connection
is closed, as a network drops what it held for a connection that was given up meanwhile.
"""
import select
import socket
import struct
import threading
import time

DELAY_S = 0.12


class Proxy(threading.Thread):
    def __init__(self, address, target):
        super().__init__(daemon=True)
        self.address, self.target = address, target
        self.mode = None
        self.stopped = False
        self.pairs = {}  # socket -> (other socket, is the caller's side)
        self.cut = set()
        self.delayed = []
        self.lock = threading.Lock()
        host, port = address.split(":")
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, int(port)))
        self.listener.listen(128)

    def fault(self, mode):
        with self.lock:
            if mode == "reset":
                for s in list(self.pairs):
                    s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.close_pair(s)
                return
            self.mode = mode
            if mode != "delay":
                self.cut.update(self.pairs)

    def heal(self):
        with self.lock:
            self.mode = None
            for s in list(self.cut):
                self.close_pair(s)
            self.cut.clear()

    def stop(self):
        self.stopped = True

    def close_pair(self, s):
        if s not in self.pairs:
            return
        other = self.pairs[s][0]
        for x in (s, other):
            self.pairs.pop(x, None)
            self.cut.discard(x)
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
        self.pairs[caller] = (upstream, True)
        self.pairs[upstream] = (caller, False)
        if self.mode in ("silent", "oneway"):
            self.cut.update((caller, upstream))

    def is_held(self, s):
        """A connection cut one way still carries what the caller sends."""
        return s in self.cut and not (self.mode == "oneway" and self.pairs[s][1])

    def relay(self, s):
        try:
            data = s.recv(65536)
        except OSError:
            data = b""
        other = self.pairs[s][0]
        if not data:
            self.close_pair(s)
        elif self.mode == "delay":
            self.delayed.append((time.time() + DELAY_S, other, data))
        else:
            self.send(other, data)

    def send(self, s, data):
        try:
            s.sendall(data)
        except OSError:
            self.close_pair(s)

    def run(self):
        while not self.stopped:
            with self.lock:
                held = {s for s in self.pairs if self.is_held(s)}
                readers = [self.listener] + [s for s in self.pairs if s not in held]
            ready, _, _ = select.select(readers, [], [], 0.02)
            with self.lock:
                for s in ready:
                    if s is self.listener:
                        self.accept()
                    elif s in self.pairs and not self.is_held(s):
                        self.relay(s)
                now = time.time()
                due = [d for d in self.delayed if d[0] <= now]
                self.delayed = [d for d in self.delayed if d[0] > now]
                for _, s, data in due:
                    if s in self.pairs:
                        self.send(s, data)
        with self.lock:
            for s in list(self.pairs):
                self.close_pair(s)
            self.listener.close()

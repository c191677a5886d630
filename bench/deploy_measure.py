"""Measurements on a running deployment for bench/deploy.sh.

Usage: deploy_measure.py COMMAND ARGUMENT... ; each command prints one line of figures.
"""

import json
import os
import sys
import threading
import time
import urllib.error
import urllib.request

CREDENTIAL = os.environ["CLUSTER_CREDENTIAL"]
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
POLL_S = 0.005
SPREAD_TIMEOUT_S = 30


def call(address, path, body=None):
    """Sends a GET, or a POST if there is a body, to an operator port; returns the answer."""
    data = json.dumps(body).encode() if body is not None else None
    req = urllib.request.Request("http://%s%s" % (address, path), data=data)
    req.add_header("authorization", "Bearer " + CREDENTIAL)
    with urllib.request.urlopen(req, timeout=5) as response:
        return response.read()


def plan_and_confirm(address, intent):
    """Plans and confirms a change; returns its version and the time of the answer."""
    request = {"intent": intent, "yaml": "", "version": 0, "operator": "bench"}
    plan = json.loads(call(address, "/plan", request))
    if plan["refused"]:
        sys.exit("plan '%s' refused: %s" % (intent, plan["refusal"]))
    request.update(version=plan["version"], plan=plan["plan"])
    version = json.loads(call(address, "/confirm", request))["version"]
    return version, time.monotonic()


def link_bytes(address):
    """Returns the link byte counters of a router, by cause."""
    counts = {}
    for line in call(address, "/metrics").decode().splitlines():
        if line.startswith("bamboocroft_link_bytes_total{"):
            counts[line.split('"')[1]] = int(line.split()[-1])
    return counts


def total_link_bytes(routers):
    sums = {}
    for r in routers:
        for cause, n in link_bytes(r).items():
            sums[cause] = sums.get(cause, 0) + n
    return sums


def wait_version(address, version, seen, index):
    """Stores in seen[index] when the router has the version; leaves None if it takes too long."""
    end = time.monotonic() + SPREAD_TIMEOUT_S
    while time.monotonic() < end:
        if json.loads(call(address, "/status"))["config_version"] >= version:
            seen[index] = time.monotonic()
            return
        time.sleep(POLL_S)


def spread(intent, *routers):
    """Confirms a change and prints the ms until the last router has it, then link bytes by cause.

    over_ms is the time over which the link bytes were counted.
    """
    before = total_link_bytes(routers)
    begin = time.monotonic()
    version, answered = plan_and_confirm(routers[0], intent)
    seen = [None] * len(routers)
    threads = [
        threading.Thread(target=wait_version, args=(r, version, seen, i))
        for i, r in enumerate(routers)
    ]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    after = total_link_bytes(routers)
    if None in seen:
        print("ms %d" % (SPREAD_TIMEOUT_S * 1000), end="")
    else:
        print("ms %d" % round((max(seen) - answered) * 1000), end="")
    for cause in after:
        print(" %s %d" % (cause, after[cause] - before[cause]), end="")
    print(" over_ms %d" % round((time.monotonic() - begin) * 1000))


def cpu_ms(pid):
    fields = open("/proc/%s/stat" % pid).read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 1000 / CLOCK_TICKS_PER_S


def rss_kib(pid):
    for line in open("/proc/%s/status" % pid):
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def io_bytes(pid):
    counts = dict(line.split(": ") for line in open("/proc/%s/io" % pid).read().splitlines())
    return int(counts["rchar"]), int(counts["wchar"])


def proc(pid):
    """Prints processor ms, memory KiB, and bytes read and written by a process so far."""
    print("%.0f %d %d %d" % (cpu_ms(pid), rss_kib(pid), *io_bytes(pid)))


def idle(seconds, *pids):
    """Prints mean and worst figures of processes without load: CPU %, bytes per second, MiB."""
    begin = time.monotonic()
    before = [(cpu_ms(p), io_bytes(p)) for p in pids]
    time.sleep(float(seconds))
    span = time.monotonic() - begin
    cpu, sent, received, rss = [], [], [], []
    for p, (cpu0, (r0, w0)) in zip(pids, before):
        r1, w1 = io_bytes(p)
        cpu.append((cpu_ms(p) - cpu0) / span / 10)
        received.append((r1 - r0) / span)
        sent.append((w1 - w0) / span)
        rss.append(rss_kib(p) / 1024)
    both = [s + r for s, r in zip(sent, received)]
    mean = lambda values: sum(values) / len(values)
    print(
        "cpu_mean %.2f cpu_max %.2f sent_mean %d sent_max %d received_mean %d received_max %d "
        "both_max %d rss_max %.1f"
        % (mean(cpu), max(cpu), mean(sent), max(sent), mean(received), max(received), max(both),
           max(rss))
    )


def change(intent, router):
    """Confirms a change and prints its version."""
    print(plan_and_confirm(router, intent)[0])


COMMANDS = {"spread": spread, "proc": proc, "idle": idle, "change": change}
COMMANDS[sys.argv[1]](*sys.argv[2:])

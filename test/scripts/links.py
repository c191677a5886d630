"""Links between two regions for scripts: one proxy for each address (test/soak/proxy.py).

Usage: links.py LISTEN=TARGET...; SIGUSR1 cuts all links, so that nothing passes and no end notices
it, SIGUSR2 lets them pass again and closes the connections that were cut. Ends with SIGTERM.
"""
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
from proxy import Proxy  # noqa: E402


def main():
    signals = {signal.SIGUSR1, signal.SIGUSR2, signal.SIGTERM}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)  # before the threads start
    links = [Proxy(*pair.split("=")) for pair in sys.argv[1:]]
    for link in links:
        link.start()
    while True:
        number = signal.sigwait(signals)
        if number == signal.SIGTERM:
            return
        for link in links:
            if number == signal.SIGUSR1:
                link.start_fault("silent")
            else:
                link.end_fault()


main()

"""Clients that write hundreds of commands at once and read what they are sent; a process of its own.

Arguments: port, connections, commands on each, and when to begin by the monotonic clock.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time

import bench

ANSWER_END = b"Z\0\0\0\5I"
LENGTH_S = 6.0


def commands_of(connection: int, count: int) -> memoryview:
    text = b"SELECT data FROM facts WHERE code = 'x' /* id=f%d.%d,c=posti,d=3000 */"
    return memoryview(b"".join(bench.query(text % (connection, number)) for number in range(count)))


def main() -> None:
    port, connections, count, begin = int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
    selector = selectors.DefaultSelector()
    unsent: dict[socket.socket, memoryview] = {}
    for connection in range(connections):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(bench.STARTUP)
        unsent[sock] = commands_of(connection, count)
    for sock in unsent:
        sock.recv(4096)
        sock.setblocking(False)
        selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
    time.sleep(max(0.0, begin - time.monotonic()))
    answers = closed = 0
    while unsent and time.monotonic() < begin + LENGTH_S:
        for key, mask in selector.select(0.2):
            sock = key.fileobj
            try:
                if mask & selectors.EVENT_WRITE:
                    unsent[sock] = unsent[sock][sock.send(unsent[sock]) :]
                    if not len(unsent[sock]):
                        selector.modify(sock, selectors.EVENT_READ)
                if mask & selectors.EVENT_READ:
                    data = sock.recv(1 << 16)
                    if not data:
                        raise ConnectionError("ended")
                    answers += data.count(ANSWER_END)
            except BlockingIOError:
                pass
            except OSError:
                closed += 1
                selector.unregister(sock)
                del unsent[sock]
                sock.close()
    print(f"{connections} clients with {count} commands each: {answers} answers, {closed} connections closed", flush=True)


if __name__ == "__main__":
    main()

"""Clients that stop in the middle of a request and stay: they read what they are sent, and close nothing.

Arguments: the port, how many clients, for how many seconds.
"""

import selectors
import socket
import struct
import sys
import time

PORT, CLIENTS, SECONDS = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
WORDS = b"user\0portal\0database\0crm\0\0"
STARTUP = struct.pack("!ii", 8 + len(WORDS), 196608) + WORDS
HALF = b"Q" + struct.pack("!i", 120) + b"SELECT data FROM facts WHERE code = '7f3a9c21"

end = time.monotonic() + SECONDS
selector = selectors.DefaultSelector()
held = []
for _ in range(CLIENTS):
    sock = socket.create_connection(("127.0.0.1", PORT), timeout=5)
    sock.sendall(STARTUP + HALF)
    sock.setblocking(False)
    held.append(sock)
    selector.register(sock, selectors.EVENT_READ)
while time.monotonic() < end:
    for key, _ in selector.select(0.1):
        try:
            if not key.fileobj.recv(4096):
                selector.unregister(key.fileobj)  # told and ended: it stays all the same
        except BlockingIOError:
            pass
        except OSError:
            selector.unregister(key.fileobj)

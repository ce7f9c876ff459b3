"""Bad clients: each sends hundreds of commands at once, reads all it is sent, and sends again as it is turned away.

Arguments: the port, how many clients, for how many seconds.
"""

import os
import selectors
import socket
import struct
import sys
import time

PORT, CLIENTS, SECONDS = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
COMMANDS = 300  # at once
WORDS = b"user\0portal\0database\0crm\0\0"
STARTUP = struct.pack("!ii", 8 + len(WORDS), 196608) + WORDS
READY = b"Z\0\0\0\5I"


class BadClient:
    def __init__(self, selector: selectors.BaseSelector) -> None:
        self.selector = selector
        self.sock = socket.create_connection(("127.0.0.1", PORT), timeout=5)
        self.sock.setblocking(False)
        self.unsent, self.tail, self.awaited = STARTUP, b"", 1
        self.add_commands()
        selector.register(self.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def add_commands(self) -> None:
        global count
        parts = [self.unsent]
        for _ in range(COMMANDS):
            count += 1
            text = f"SELECT data FROM facts WHERE code = '{count:016x}' /* id=b{os.getpid()}-{count},c=posti,d=1 */\0"
            parts.append(b"Q" + struct.pack("!i", 4 + len(text)) + text.encode())
        self.unsent = b"".join(parts)
        self.awaited += COMMANDS

    def handle(self, mask: int) -> None:
        if mask & selectors.EVENT_WRITE and self.unsent:
            self.unsent = self.unsent[self.sock.send(self.unsent[:65536]) :]
            if not self.unsent:
                self.selector.modify(self.sock, selectors.EVENT_READ, self)
        if mask & selectors.EVENT_READ:
            data = self.sock.recv(65536)
            if not data:
                raise ConnectionError
            data = self.tail + data
            self.awaited -= data.count(READY)
            self.tail = data[data.rfind(READY) + len(READY) :][-5:] if READY in data else data[-5:]
            if self.awaited <= 0 and not self.unsent:
                self.add_commands()
                self.selector.modify(self.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, self)


count = 0
selector = selectors.DefaultSelector()
end = time.monotonic() + SECONDS
while len(selector.get_map()) < CLIENTS and time.monotonic() < end:
    BadClient(selector)
while time.monotonic() < end:
    for key, mask in selector.select(0.1):
        client = key.data
        try:
            client.handle(mask)
        except BlockingIOError:
            pass
        except OSError:
            selector.unregister(client.sock)
            client.sock.close()
            try:
                BadClient(selector)
            except OSError:
                pass

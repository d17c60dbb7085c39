"""Unix sockets and lines: bytes to messages of `handover/core.py` and back. It decides nothing.

Rules:

1. Links work for no caller, so the poller wakes them before callers' legs.
2. A line is `MOST_LINE` bytes at the most, and as much waits to be sent: a process that does not read, or
   sends no end of a line, is let go of. Nobody is waited for.
3. The socket file is made under another name and renamed, so that it leads to a process that listens or, once
   that one has died, to nobody. A name too long for the system is reached through its folder's descriptor.
"""

from __future__ import annotations

import errno
import json
import os
import socket
from collections.abc import Callable, Hashable
from pathlib import Path

from flintfield.handover.core import Came, Ended, Heard, Line, Message, Reached
from flintfield.wire.http1.poller import NOTHING, READ, WRITE, Poller

MOST_LINE = 4 * 1024 * 1024
CHUNK = 65_536
BACKLOG = 8
ACCEPT_PAUSE_S = 0.05  # after a lack of descriptors
MOST_LINKS = 8  # processes of one scheduler at once; more are turned away


class Wire:
    """One connection to another process."""

    caller: Hashable | None = None
    urgent = True

    def __init__(self, number: int, sock: socket.socket, house: Links) -> None:
        self.number, self.sock, self._house = number, sock, house
        self._came = bytearray()
        self._left = bytearray()
        self._blocked = False  # we wait for room to write
        self.closed = False

    def ready(self) -> None:
        """Something may go on."""
        self._flush()
        while not self.closed:
            try:
                data = self.sock.recv(CHUNK)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            if not data:
                self._house.drop(self.number, "")
                return
            self._came += data
            while not self.closed and (end := self._came.find(b"\n")) >= 0:
                line = bytes(self._came[:end])
                del self._came[:end + 1]
                self._take(line)
            if len(self._came) > MOST_LINE:
                self._house.drop(self.number, "a line without an end")

    def _take(self, text: bytes) -> None:
        try:
            line = json.loads(text)
        except (ValueError, RecursionError):
            line = None
        if isinstance(line, dict):
            self._house.tell(Heard(self.number, line))
        else:
            self._house.drop(self.number, "a line that is no object")

    def broke(self, error: Exception) -> None:
        """An exception stops here."""
        self._house.drop(self.number, repr(error))

    def say(self, line: Line) -> None:
        """Send a line, now or as the other side reads."""
        waits = bool(self._left)
        self._left += json.dumps(line, separators=(",", ":")).encode() + b"\n"
        if not waits:
            self._flush()
        elif len(self._left) > MOST_LINE:
            self._house.drop(self.number, "it does not read")

    def _flush(self) -> None:
        try:
            while self._left and not self.closed:
                del self._left[:self.sock.send(self._left)]
        except BlockingIOError:
            pass
        except OSError:
            self._left.clear()  # the end is told when it is read
        if bool(self._left) is not self._blocked and not self.closed:
            self._blocked = not self._blocked
            self._house.poller.change(self.sock.fileno(), READ | WRITE if self._blocked else READ)


class Links:
    """All connections, and the socket file at which newer processes come."""

    caller: Hashable | None = None
    urgent = True

    def __init__(self, poller: Poller, path: Path, told: Callable[[Message], None],
                 dropped: Callable[[str], None]) -> None:
        """`told` takes what came; `dropped` is told why a link was let go of."""
        self.poller, self._path, self.tell, self._dropped = poller, path, told, dropped
        self._wires: dict[int, Wire] = {}
        self._next = 0
        self._listener: socket.socket | None = None

    # ------------------------------------------------------------- connecting

    def reach(self) -> bool:
        """Connect to the process before us; whether there is one that listens."""
        sock = _socket()
        try:
            _through_folder(self._path, sock.connect)
        except OSError:  # none there, or a file that one left that was killed
            sock.close()
            return False
        self.tell(Reached(self._add(sock)))
        return True

    def publish(self) -> None:
        """Be the one that newer processes come to; an OSError tells why not."""
        self.hide()
        listener, new = _socket(), self._path.with_name(f"{self._path.name}.{os.getpid()}")
        try:
            new.unlink(missing_ok=True)
            _through_folder(new, listener.bind)
            listener.listen(BACKLOG)
            new.replace(self._path)
        except OSError:
            listener.close()
            raise
        self._listener = listener
        self.poller.watch(listener.fileno(), self)

    def hide(self) -> None:
        """Be it no longer; the file is left, for it may be another's by now."""
        if self._listener:
            self.poller.forget(self._listener.fileno())
            self._listener.close()
            self._listener = None

    def ready(self) -> None:
        """A newer process comes."""
        if self._listener is None:
            return
        try:
            sock, _ = self._listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return
        except OSError:  # no descriptor is left: guards against being woken again and again for it
            self.poller.change(self._listener.fileno(), NOTHING)
            self.poller.later(ACCEPT_PAUSE_S, self, self._accept_on)
            return
        if len(self._wires) >= MOST_LINKS:
            sock.close()
            return
        sock.setblocking(False)
        self.tell(Came(self._add(sock)))

    def _accept_on(self) -> None:
        if self._listener:
            self.poller.change(self._listener.fileno(), READ)

    def broke(self, error: Exception) -> None:
        """An exception stops here."""
        self._dropped(repr(error))

    def _add(self, sock: socket.socket) -> int:
        self._next += 1
        wire = self._wires[self._next] = Wire(self._next, sock, self)
        self.poller.watch(sock.fileno(), wire)
        return self._next

    # ------------------------------------------------------------------ lines

    def say(self, number: int, line: Line) -> None:
        """Send a line over a link that is there."""
        if wire := self._wires.get(number):
            wire.say(line)

    def drop(self, number: int, why: str) -> None:
        """Let go of a link; no reason: the other side ended it."""
        if (wire := self._wires.pop(number, None)) is None:
            return
        wire.closed = True
        self.poller.forget(wire.sock.fileno())
        wire.sock.close()
        if why:
            self._dropped(why)
        self.tell(Ended(number))

    def close(self) -> None:
        """Let go of all."""
        self.hide()
        for number in list(self._wires):
            self.drop(number, "")


def _socket() -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    return sock


def _through_folder(path: Path, call: Callable[[str], object]) -> None:
    """Call with a name for the path that is short enough for a socket's address."""
    try:
        call(str(path))
    except OSError as error:
        if error.errno is not None and error.errno != errno.ENAMETOOLONG:
            raise
        folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
        try:
            call(f"/proc/self/fd/{folder}/{path.name}")
        finally:
            os.close(folder)

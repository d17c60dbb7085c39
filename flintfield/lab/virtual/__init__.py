"""The engine in virtual time: no sockets, no sleeping, many schedulers in one process.

`play` runs a scenario and returns its event log; the same scenario, seed and chooser give the same log byte
for byte. `engine.py` moves the world and writes the log, `scheduler.py` is the thin shell round one
scheduler's reducer, `loop.py` the calendar.
"""

from flintfield.lab.virtual.engine import Make
from flintfield.lab.virtual.interface import Reducer
from flintfield.lab.virtual.play import play

__all__ = ["Make", "Reducer", "play"]

"""The sockets engine: the world model played in real time against real `python -m flintfield` processes.

`wire.py` speaks HTTP/1.1 for the parties, `faults.py` says what befalls bytes on the way and `proxy.py` does
it to any TCP connection, `processes.py` starts and ends the schedulers, `addresses.py` deals out 127.x.y.z.
"""

"""Fleet trials: real processes of the program, faults between them and at them, and a judge of what they did.

Rules of this package. A trial stands beside a run of the sockets engine (`lab/sockets/beside.py`) and changes
nothing of the program: instances are told relays' addresses as those of the others. What decides is pure:
`net.py` says what becomes of a word, `schedule.py` which fault begins when, `judge/` what a history proves.
`relay.py`, `owners.py` and `trial.py` carry it out. `docs/lab-fleet.md` has the reasons.
"""

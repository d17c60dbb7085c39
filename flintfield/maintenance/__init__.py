"""Maintenance within agreed availability: who may take a worker node out, when, and who knows of it. Pure.

`executor.py` and `barring.py` are the two cores, `schedule.py` makes plans; `docs/maintenance.md` has the
law.
"""

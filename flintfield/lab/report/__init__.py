"""Reports: one self-contained HTML page with plots of a run, and the same as JSON.

`series` reads a log once and keeps what the page shows, by time slice, so that its size does not grow with
the log; `plots` draws, `page` writes. All is taken from the event log and its verdict, nothing from the
engine.
"""

from flintfield.lab.report.page import write_page
from flintfield.lab.report.series import Report, read

__all__ = ["Report", "read", "write_page"]

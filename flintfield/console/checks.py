"""Checks of files, with each fault by file, key, what was found and what was expected."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from flintfield.control.documents import Document, InvalidConfiguration, check_whole, parse
from flintfield.runtime.settings import NodeSettings, SettingsError
from flintfield.runtime.settings_file import load

MOST_SHOWN = 60  # characters of a value that was found
NEEDED = {"frontend": ("front", "ready"), "control_plane": ("control",), "side": ("control",)}
"""Which addresses under `listen` serve whom."""


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault in a file; `key` is "" where the whole file is at fault."""

    file: str
    key: str
    found: str
    expected: str

    def __str__(self) -> str:
        key = f"{self.key}: " if self.key else ""
        return f"{self.file}: {key}found {self.found}, expected {self.expected}"


def check_settings(path: str) -> list[Fault]:
    """What is wrong with a settings file."""
    try:
        settings = load(path)
    except SettingsError as error:
        return [Fault(error.file, error.key, error.found, error.expected)]
    return [*_missing_addresses(path, settings), *_bad_seeds(path, settings)]


def _missing_addresses(path: str, settings: NodeSettings) -> list[Fault]:
    faults = []
    for caller in settings.serves:
        for name in NEEDED.get(caller, ()):
            if getattr(settings.listen, name) is None:
                faults.append(Fault(path, f"listen.{name}", "nothing", f"an address, to serve {caller}"))
    return faults


def _bad_seeds(path: str, settings: NodeSettings) -> list[Fault]:
    faults = []
    if not settings.seeds:
        faults.append(Fault(path, "seeds", "nothing", "one address or more"))
    if settings.counts_for_quorum and settings.data_dir is not None and settings.limits.disk_mb == 0:
        faults.append(Fault(path, "limits.diskMb", "0", "the size of the disk in MB"))
    return faults


def check_configuration(path: str) -> list[Fault]:
    """What is wrong with a whole configuration; the first fault."""
    try:
        body = Path(path).read_bytes()
    except OSError as error:
        return [Fault(path, "", str(error), "a file that can be read")]
    document: Document = {}
    try:
        document = parse(body)
        check_whole(document)
    except InvalidConfiguration as error:
        return [_fault(path, document, str(error))]
    return []


def _fault(path: str, document: Document, text: str) -> Fault:
    """The fault that a message of the form "key: what is wrong with it" tells."""
    key, _, wrong = text.partition(": ")
    found = _found(document, key)
    if wrong == "is required":
        return Fault(path, key, "nothing", "a value")
    if wrong.startswith("is not "):
        return Fault(path, key, found, wrong.removeprefix("is not "))
    if key == "body":
        return Fault(path, "", wrong, "a JSON object")
    return Fault(path, key, wrong, "a valid configuration")


def _found(document: Any, key: str) -> str:
    """The value at that place, cut to a bounded length; "nothing" where there is none."""
    value = document
    for part in key.split("."):
        if isinstance(value, dict) and part in value:
            value = value[part]
        elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        else:
            return "nothing"
    return repr(value)[:MOST_SHOWN]

"""A module imports only from its own layer or lower ones, at module level and within functions alike."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

from flintfield.lifecycle.units import UNITS, find_feature
from peers import ROOT

# From bottom to top. A package includes all its subpackages.
LAYERS = (
    ("flintfield", "flintfield.decision"),  # the top-level package only exports the decision module
    ("flintfield.base",),
    ("flintfield.runtime", "flintfield.transport"),
    ("flintfield.store",),
    ("flintfield.coordination",),
    ("flintfield.jobs", "flintfield.placement"),
    ("flintfield.memory", "flintfield.queues", "flintfield.membership", "flintfield.planning",
     "flintfield.forwarding", "flintfield.handover", "flintfield.sharing", "flintfield.sites",
     "flintfield.escrow", "flintfield.maintenance"),
    ("flintfield.capture", "flintfield.wire",
     "flintfield.dispatch", "flintfield.agent", "flintfield.ingress", "flintfield.control",
     "flintfield.observe"),  # the planes
    ("flintfield.units",),
    ("flintfield.lab", "flintfield.simulation", "flintfield.console", "flintfield.soak", "benchmarks"),
    ("flintfield.cli", "flintfield.lifecycle", "flintfield.drill", "flintfield.__main__",
     "flintfield.programs"),
)
HEIGHTS = {name: height for height, names in enumerate(LAYERS) for name in names}
DECISION = "flintfield.decision"


def height(module: str) -> int | None:
    """The height of a module's layer; None for modules of other projects."""
    parts = module.split(".")
    if parts[0] not in ("flintfield", "benchmarks"):
        return None
    if parts == ["flintfield"]:
        return 0
    return HEIGHTS[".".join(parts[:2]) if parts[0] == "flintfield" else parts[0]]


def modules() -> Iterator[tuple[str, Path]]:
    for top in ("flintfield", "benchmarks"):
        for path in sorted((ROOT / top).rglob("*.py")):
            parts = path.relative_to(ROOT).with_suffix("").parts
            yield ".".join(parts[:-1] if parts[-1] == "__init__" else parts), path


def imports(module: str, path: Path, text: str | None = None) -> Iterator[tuple[int, str]]:
    """The line and the name of each imported module, anywhere in the file."""
    package = module if path.name == "__init__.py" else module.rpartition(".")[0]
    for node in ast.walk(ast.parse(text or path.read_text(), str(path))):
        if isinstance(node, ast.Import):
            yield from ((node.lineno, alias.name) for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            above = package.split(".")[:len(package.split(".")) - node.level + 1] if node.level else []
            base = ".".join([*above, *([node.module] if node.module else [])])
            for alias in node.names:  # `from flintfield import cli` imports a module too
                whole = f"{base}.{alias.name}"
                is_module = whole in ALL
                yield node.lineno, whole if is_module else base


ALL = {name for name, _ in modules()}


def imports_from_above(module: str, path: Path, text: str | None = None) -> list[str]:
    own = height(module)
    assert own is not None
    found = []
    for line, other in imports(module, path, text):
        top = height(other)
        if top is not None and top > own:
            found.append(f"{path.relative_to(ROOT)}:{line} imports {other}, which is in a higher layer")
        elif module.startswith(DECISION) and top is not None and not other.startswith(DECISION):
            found.append(f"{path.relative_to(ROOT)}:{line} imports {other}: not a decision module")
    return found


def test_every_module_has_a_layer_and_imports_nothing_from_a_higher_one() -> None:
    assert [violation for module, path in modules() for violation in imports_from_above(module, path)] == []


@pytest.mark.parametrize(("module", "text"), [
    ("flintfield.memory.x", "from flintfield.wire import http1"),
    ("flintfield.capture.x", "def f():\n    from flintfield.lifecycle.start import main"),
    ("flintfield.wire.http1.x", "import flintfield.units.interface"),
    ("flintfield.store.x", "from flintfield import memory"),
    ("flintfield.base.x", "from ..lifecycle import start"),
    ("flintfield.lab.x", "from flintfield.cli import main"),
    ("flintfield.decision.x", "from flintfield.base.settings import Section"),
    ("flintfield.base.x", "from flintfield.transport.records import x"),
    ("flintfield.transport.x", "from flintfield.coordination import register"),
    ("flintfield.coordination.x", "import flintfield.jobs.messages"),
    ("flintfield.placement.x", "def f():\n    from flintfield.dispatch import core"),
    ("flintfield.control.x", "from flintfield.programs import scheduler"),
    ("flintfield.agent.x", "from flintfield.simulation import network"),
    ("flintfield.simulation.x", "from flintfield.programs import agent"),
])
def test_an_import_from_a_higher_layer_is_found(module: str, text: str) -> None:
    path = ROOT / (module.replace(".", "/") + ".py")
    assert len(imports_from_above(module, path, text)) == 1


def test_each_listed_feature_declares_the_section_that_it_is_listed_under() -> None:
    for name, place in UNITS.items():
        assert name in [section.name for section in find_feature(place).sections]


# Packages without import cycles and without a file longer than MAX_LINES. Packages are only added here.
CLEAN_PACKAGES = (
    "flintfield.decision", "flintfield.base", "flintfield.transport", "flintfield.jobs",
    "flintfield.placement", "flintfield.memory", "flintfield.queues", "flintfield.membership",
    "flintfield.planning",
    "flintfield.forwarding", "flintfield.handover", "flintfield.sharing", "flintfield.sites",
    "flintfield.escrow", "flintfield.maintenance", "flintfield.capture", "flintfield.dispatch",
    "flintfield.agent", "flintfield.ingress", "flintfield.control", "flintfield.console",
    "flintfield.observe",
    "flintfield.programs",
    "flintfield.cli", "flintfield.lab.experiments", "flintfield.lab.fleet", "flintfield.lab.interleavings",
    "flintfield.lab.judge", "flintfield.lab.maintenance", "flintfield.lab.report",
    "flintfield.lab.scenario", "flintfield.lab.virtual",
    "flintfield.coordination", "flintfield.runtime", "flintfield.simulation",
)
# Packages without import cycles; some have files that are still too long.
WITHOUT_CYCLES = (
    *CLEAN_PACKAGES, "flintfield.store", "flintfield.wire", "flintfield.units",
    "flintfield.lifecycle", "flintfield.lab.membership", "flintfield.lab.sharing", "flintfield.lab.sockets",
    "flintfield.lab.world", "benchmarks",
)
MAX_LINES = 300  # longer files are too long to read at once


def import_cycles(package: str) -> list[list[str]]:
    """The import cycles among the files of a package, including imports for type checkers
    (Tarjan 1972, "Depth-first search and linear graph algorithms")."""
    edges = {m: {o for _, o in imports(m, p) if o.startswith(package) and o != m}
             for m, p in modules() if m.startswith(package)}
    number: dict[str, int] = {}
    lowest: dict[str, int] = {}
    path: list[str] = []
    found = []

    def visit(module: str) -> None:
        number[module] = lowest[module] = len(number)
        path.append(module)
        for other in sorted(edges[module] & edges.keys()):
            if other not in number:
                visit(other)
            if other in path:
                lowest[module] = min(lowest[module], lowest[other])
        if lowest[module] == number[module]:
            at = path.index(module)
            cycle, path[at:] = path[at:], []
            if len(cycle) > 1:
                found.append(sorted(cycle))

    for module in edges:
        if module not in number:
            visit(module)
    return found


@pytest.mark.parametrize("package", WITHOUT_CYCLES)
def test_a_package_has_no_import_cycles(package: str) -> None:
    assert import_cycles(package) == []


@pytest.mark.parametrize("package", CLEAN_PACKAGES)
def test_no_file_exceeds_the_line_limit(package: str) -> None:
    lines = {m: len(p.read_text().splitlines()) for m, p in modules() if m.startswith(package)}
    assert [m for m, count in lines.items() if count > MAX_LINES] == []

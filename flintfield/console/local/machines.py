"""The machines of a local cluster: their names, addresses and settings files.

As in a deployment, all machines use the same ports and differ by address: schedulers are 127.0.0.11 and up,
agents 127.0.0.31 and up. The ports are a block that is free on all of these addresses.
"""

from __future__ import annotations

import enum
import random
import socket
from dataclasses import dataclass
from pathlib import Path

ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "local"
SERVICE = "local-service"
FIRST_SCHEDULER = 11  # last number of its address
FIRST_AGENT = 31
PORTS = 16  # of one block
PORT_BLOCKS = (20_000, 32_000)  # below the ports that Linux gives to outgoing connections
BLOCK_ATTEMPTS = 50
HEARTBEAT_MS = 500
GRACE_S = 6  # as deployments have
DISK_MB = 64


@dataclass(frozen=True, slots=True)
class ClusterSize:
    """How many machines of each kind; `frontends` are schedulers without a disk."""

    replicas: int = 3
    frontends: int = 1
    agents: int = 4


SMALL = ClusterSize()


class NoPorts(Exception):
    """No block of free ports was found."""


class Role(enum.Enum):
    """What a machine runs; the value is the program's module."""

    SCHEDULER = "flintfield.programs.scheduler"
    AGENT = "flintfield.programs.agent"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine of the cluster. `number` is the last one of its address, `port` the first of its block."""

    name: str
    role: Role
    number: int
    port: int
    zone: str
    replica: bool = False

    @property
    def ip(self) -> str:
        """Its loopback address."""
        return f"127.0.0.{self.number}"

    @property
    def front(self) -> str:
        """Where clients call."""
        return f"{self.ip}:{self.port}"

    @property
    def ready(self) -> str:
        """Where the platform asks whether it is ready."""
        return f"{self.ip}:{self.port + 1}"

    @property
    def control(self) -> str:
        """Where the operator, or the worker beside it, calls."""
        return f"{self.ip}:{self.port + 2}"

    @property
    def app(self) -> str:
        """Where its worker serves."""
        return f"{self.ip}:{self.port + 3}"

    @property
    def rpc(self) -> str:
        """Where the system's processes call."""
        return f"{self.ip}:{self.port + 4}"


def plan_machines(port: int, size: ClusterSize = SMALL) -> tuple[Machine, ...]:
    """All machines, replicas first."""
    machines = []
    for index in range(size.replicas + size.frontends):
        machines.append(
            Machine(
                f"scheduler-{index + 1}",
                Role.SCHEDULER,
                FIRST_SCHEDULER + index,
                port,
                ZONES[index % len(ZONES)],
                replica=index < size.replicas,
            )
        )
    for index in range(size.agents):
        machines.append(
            Machine(f"agent-{index + 1}", Role.AGENT, FIRST_AGENT + index, port, ZONES[index % len(ZONES)])
        )
    return tuple(machines)


def free_port_block(rng: random.Random, size: ClusterSize = SMALL) -> int:
    """The first of `PORTS` ports that nobody uses on any machine's address; raises `NoPorts`."""
    blocks = range(*PORT_BLOCKS, PORTS)
    for _ in range(BLOCK_ATTEMPTS):
        port = rng.choice(blocks)
        if all(
            _is_free(machine.ip, port + offset)
            for machine in plan_machines(port, size)
            for offset in range(PORTS)
        ):
            return port
    raise NoPorts(f"no {PORTS} free ports between {PORT_BLOCKS[0]} and {PORT_BLOCKS[1]}")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def settings_text(machine: Machine, seeds: tuple[str, ...], folder: Path, bootstrap: bool) -> str:
    """The settings file of a machine; `bootstrap` is true at the very first start."""
    return _settings_of_any(machine, seeds, bootstrap) + (
        _settings_of_scheduler(machine, folder)
        if machine.role is Role.SCHEDULER
        else _settings_of_agent(machine)
    )


def _settings_of_any(machine: Machine, seeds: tuple[str, ...], bootstrap: bool) -> str:
    names = ", ".join(f'"{seed}"' for seed in seeds)
    return (
        f'nodeName = "{machine.name}"\nrole = "{machine.role.name.lower()}"\n'
        f'ip = "{machine.ip}"\nzone = "{machine.zone}"\nregion = "{REGION}"\n'
        f"portRange = [{machine.port + 4}, {machine.port + PORTS - 1}]\nseeds = [{names}]\n"
        f"bootstrap = {'true' if bootstrap else 'false'}\nheartbeatMs = {HEARTBEAT_MS}\n"
        'commands = "rpc"\n'
    )


def _settings_of_scheduler(machine: Machine, folder: Path) -> str:
    disk = ""
    if machine.replica:
        disk = f'countsForQuorum = true\ndataDir = "{folder / "data" / machine.name}"\n'
    return (
        f'machineClass = "frontend"\nserves = ["frontend", "control_plane"]\n{disk}'
        f'[listen]\nfront = "{machine.front}"\nready = "{machine.ready}"\n'
        f'control = "{machine.control}"\n[limits]\ndiskMb = {DISK_MB}\n'
        f"[faultTolerance]\nmachines = 1\n[bounds]\ngraceS = {GRACE_S}\n"
    )


def _settings_of_agent(machine: Machine) -> str:
    return (
        f'machineClass = "side"\nserves = ["side"]\napp = "{machine.app}"\nservice = "{SERVICE}"\n'
        f'[listen]\ncontrol = "{machine.control}"\n[bounds]\ngraceS = {GRACE_S}\n'
    )

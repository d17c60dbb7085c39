"""The machines of a run on sockets: their worker nodes, and what discovery hears of them."""

from __future__ import annotations

from flintfield.lab.log import NodeLoad
from flintfield.lab.sockets.context import Run
from flintfield.lab.sockets.directory import Directory
from flintfield.lab.sockets.nodes import NodeFace
from flintfield.lab.world import Discovery, Machine, Node


class Machines:
    """All machines, by name and by place in the fleet."""

    def __init__(self, run: Run) -> None:
        self._run = run
        self._saves: dict[str, float] = {}
        self._by_name: dict[str, NodeFace] = {}
        self.places: dict[int, NodeFace] = {}
        scenario = run.scenario
        discovery = Discovery(scenario.discovery, scenario.rules.ask_within_ms, run.streams.of("discovery"))
        self.directory = Directory(run, discovery, lambda name, s: self._by_name[name].address(s))
        run.on_fall = self.fell

    def add(self, machine: Machine) -> NodeFace:
        """A machine, on which nothing runs yet."""
        scenario = self._run.scenario
        node = Node(machine, scenario.fleet, scenario.rules, self._run.streams.of(f"node/{machine.name}"),
                    self._saves)
        face = NodeFace(self._run, machine, node)
        self._by_name[machine.name] = self.places[machine.place] = face
        return face

    async def start_listed(self, machine: Machine) -> None:
        """A machine of the first fleet: warm, and listed from the start."""
        face = self.add(machine)
        self.directory.discovery.list_now(machine)
        await face.start(cold=False)

    async def start(self, face: NodeFace) -> None:
        """Its process starts, cold, and discovery will list it."""
        if not await face.start(cold=True):
            return
        self.directory.discovery.process_started(self._run.clock(), face.machine)
        self.directory.changed()

    def fell(self, name: str) -> None:
        """A node's process is over, and discovery will notice."""
        self.directory.discovery.process_ended(self._run.clock(), self._by_name[name].machine)
        self.directory.changed()

    def reconsider(self) -> None:
        """What passes between zones has changed."""
        for face in self._by_name.values():
            face.reconsider()
        self.directory.reconsider()

    def take_dials(self) -> None:
        """A cut has ended: connections that were asked for meanwhile are made."""
        for face in self._by_name.values():
            face.take_dials()

    def sweep(self) -> None:
        """Close connections that are idle too long."""
        for face in self._by_name.values():
            face.sweep()

    def sample(self) -> None:
        """Write each node's load down."""
        for face in self._by_name.values():
            if face.node.up:
                running, waiting = face.node.jobs
                self._run.record(NodeLoad(self._run.at(), face.name, running, waiting, face.connections))

    async def clear_away(self) -> None:
        """The run is over."""
        for face in self._by_name.values():
            await face.clear_away()
        self.directory.close()

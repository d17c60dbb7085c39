"""How much of a worker's room a placement strands.

A worker's free room is stranded as far as one resource is free beyond the scarcest: GPUs without the cores
that drive them serve nobody. Of workers that are equally good by their share, the one is taken on which a
placement adds the least of that.
"""

from __future__ import annotations

from flintfield.placement.interface import Resources, Worker


def stranded(capacity: Resources, used_cpu: int, used_memory_mb: int, used_gpu: int) -> float:
    """Free parts of capacity in excess of the scarcest resource's, summed (0.0: in balance)."""
    cpu = (capacity.cpu - used_cpu) / capacity.cpu if capacity.cpu > 0 else 0.0
    memory = (capacity.memory_mb - used_memory_mb) / capacity.memory_mb if capacity.memory_mb > 0 else cpu
    if capacity.gpu <= 0:
        return cpu + memory - 2.0 * min(cpu, memory)
    gpu = (capacity.gpu - used_gpu) / capacity.gpu
    return cpu + memory + gpu - 3.0 * min(cpu, memory, gpu)


def added_stranding(worker: Worker, demand: Resources) -> float:
    """What the placement adds to the stranded room there (below 0: it brings the room into balance)."""
    used, capacity = worker.used, worker.capacity
    after = used.plus(demand)
    return (stranded(capacity, after.cpu, after.memory_mb, after.gpu)
            - stranded(capacity, used.cpu, used.memory_mb, used.gpu))

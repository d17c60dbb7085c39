"""How much of a worker's room a placement strands.

A worker's free room is stranded as far as one resource is free beyond the scarcest: GPUs without the cores
that drive them serve nobody. Of workers that are equally good by their share, the one is taken on which a
placement adds the least of that.
"""

from __future__ import annotations

from flintfield.placement.interface import Resources, Worker


def stranded(capacity: Resources, used_cpu: int, used_memory_mb: int, used_gpu: int) -> float:
    """Free parts of capacity in excess of the scarcest resource's, summed (0.0: in balance)."""
    least = cpu = 1.0 - used_cpu / capacity.cpu if capacity.cpu else 0.0
    total, kinds = cpu, 1
    if capacity.memory_mb:
        memory = 1.0 - used_memory_mb / capacity.memory_mb
        total, kinds = total + memory, 2
        least = memory if memory < least else least
    if capacity.gpu:
        gpu = 1.0 - used_gpu / capacity.gpu
        total, kinds = total + gpu, kinds + 1
        least = gpu if gpu < least else least
    return total - kinds * least


def added_stranding(worker: Worker, demand: Resources) -> float:
    """What the placement adds to the stranded room there (below 0: it brings the room into balance)."""
    used, capacity = worker.used, worker.capacity
    cpu, memory_mb, gpu = used.cpu, used.memory_mb, used.gpu
    after = stranded(capacity, cpu + demand.cpu, memory_mb + demand.memory_mb, gpu + demand.gpu)
    return after - stranded(capacity, cpu, memory_mb, gpu)

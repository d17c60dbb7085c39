"""Computes how much free room of a worker a placement strands.

Free room is stranded to the extent that the free fraction of a resource exceeds that of the scarcest one:
GPUs without the cores to drive them are unusable. Among workers with similar shares, placement takes the one
where it adds the least stranded room.
"""

from __future__ import annotations

from flintfield.placement.interface import Resources, Worker


def stranded(capacity: Resources, used_cpu: int, used_memory_mb: int, used_gpu: int) -> float:
    """Sum over resources of the free fraction in excess of the scarcest resource's (0.0: balanced)."""
    scarcest = cpu = 1.0 - used_cpu / capacity.cpu if capacity.cpu else 0.0
    total, resource_count = cpu, 1
    if capacity.memory_mb:
        memory = 1.0 - used_memory_mb / capacity.memory_mb
        total, resource_count = total + memory, 2
        scarcest = memory if memory < scarcest else scarcest
    if capacity.gpu:
        gpu = 1.0 - used_gpu / capacity.gpu
        total, resource_count = total + gpu, resource_count + 1
        scarcest = gpu if gpu < scarcest else scarcest
    return total - resource_count * scarcest


def added_stranding(worker: Worker, demand: Resources) -> float:
    """Change of the worker's stranded room by the placement (negative: free room becomes more balanced)."""
    used, capacity = worker.used, worker.capacity
    cpu, memory_mb, gpu = used.cpu, used.memory_mb, used.gpu
    after = stranded(capacity, cpu + demand.cpu, memory_mb + demand.memory_mb, gpu + demand.gpu)
    return after - stranded(capacity, cpu, memory_mb, gpu)

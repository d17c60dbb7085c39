"""Probes: one member after the other is asked whether it is there, by ourselves and then by others for us.

[SWIM 3.1, 4.3] A period: a ping to the next member of the round; without an answer by the time-out, `helpers`
others are asked to ping it; without an answer by the period's end it is suspected. [LG IV-A] Period and
time-out stretch with our own health, and helpers that get no answer say so.
"""

from __future__ import annotations

from flintfield.membership.judging import give_way, hear_suspect
from flintfield.membership.messages import Ack, Address, Ask, Nack, Part, Ping, Suspect, Status
from flintfield.membership.rules import MOST_RELAYS
from flintfield.membership.state import Probe, Relay, Turn


def period_due(turn: Turn, _: object) -> None:
    """One period ends, the next begins."""
    state = turn.state
    if state.probe:
        _failed(turn, state.probe)
        state.probe = None
    if state.own.leaving:
        return
    turn.after(state.rules.probe_ms * state.health.stretch, "period")
    if target := state.table.next_target(state.name):
        state.probe = Probe(turn.number(), target, target.record.session)
        turn.count("probes.sent")
        lead: list[Part] = [Ping(state.probe.number)]
        if state.rules.buddy and target.status is Status.SUSPECT:
            lead.append(Suspect(target.record.name, target.incarnation, state.name))
        turn.send(target.record.address, target.record.session, *lead)
        turn.after(state.rules.timeout_ms * state.health.stretch, "timeout", state.probe)


def timeout_due(turn: Turn, about: object) -> None:
    """The direct probe has no answer: ask others."""
    probe, state = turn.state.probe, turn.state
    if probe is None or probe is not about:
        return
    turn.count("probes.indirect")
    target = probe.entry.record
    helpers = state.table.pick(state.rules.helpers, lambda e: e is not probe.entry
                               and e.status is Status.ALIVE and e.record.name != state.name)
    nack = state.rules.health
    probe.asked = len(helpers) if nack else 0
    for helper in helpers:
        turn.send(helper.record.address, helper.record.session,
                  Ask(probe.number, target.host, target.port, probe.session, nack))


def _failed(turn: Turn, probe: Probe) -> None:
    """No answer in the whole period."""
    state, entry = turn.state, probe.entry
    turn.count("probes.failed")
    if state.rules.health:
        # Without helpers our own fault can not be told from the target's: the plain rule counts.
        state.health.note(probe.asked - probe.nacks if probe.asked else 1)
    if not entry.live or entry.record.session != probe.session:
        return  # it was declared dead meanwhile, or lives anew
    helped = f", nor through {probe.asked} others" if probe.asked else " to a probe"
    hear_suspect(turn, Suspect(entry.record.name, entry.incarnation, state.name), f"no answer{helped}")


def hear_ping(turn: Turn, source: Address, sender: int, ping: Ping) -> None:
    """Somebody asks whether we are there."""
    turn.send(source, sender, Ack(ping.number))


def hear_ack(turn: Turn, ack: Ack) -> None:
    """An answer: to our own probe, to one made for another, or from who has our name."""
    state = turn.state
    if state.probe and state.probe.number == ack.number:
        state.probe = None
        if state.rules.health:
            state.health.note(-1)
    elif relay := state.relays.pop(ack.number, None):
        turn.send(relay.origin, relay.session, Ack(relay.number))
    elif state.own.namesake and state.own.namesake.number == ack.number:
        give_way(turn)
    else:
        turn.count("probes.late_word")


def hear_ask(turn: Turn, source: Address, sender: int, ask: Ask) -> None:
    """Probe a member for another one."""
    state = turn.state
    if len(state.relays) >= MOST_RELAYS:
        turn.count("relays_full")
        return
    number = turn.number()
    state.relays[number] = Relay(source, sender, ask.number)
    turn.send((ask.host, ask.port), ask.session, Ping(number))
    turn.after(state.rules.timeout_ms * state.rules.nack_share, "relay", (number, ask.nack))


def relay_due(turn: Turn, about: object) -> None:
    """A probe made for another has no answer so far; it may still have one within the other's period."""
    assert isinstance(about, tuple)
    number, nack = about
    if relay := turn.state.relays.get(number):
        if nack is None:
            del turn.state.relays[number]
            return
        turn.after(turn.state.rules.probe_ms, "relay", (number, None))
        if nack:
            turn.send(relay.origin, relay.session, Nack(relay.number))


def hear_nack(turn: Turn, nack: Nack) -> None:
    """A helper is there, and the target has not answered it."""
    probe = turn.state.probe
    if probe and probe.number == nack.number:
        probe.nacks = min(probe.asked, probe.nacks + 1)

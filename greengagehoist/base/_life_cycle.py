"""State machines shared by all values of a type; each value holds only its immutable state."""

from typing import TypeVar

from transitions import Machine

State = TypeVar("State", bound=str)


def build_machine(states: type, transitions: list[tuple[str, str, str]]) -> Machine:
    """Return a state machine without a model; :func:`next_state` applies it to a given state.

    :param states: string enumeration; the first member is the initial state.
    :param transitions: triples of event, source and destination.
    """
    names = [str(state) for state in states]
    return Machine(
        model=None,
        states=names,
        transitions=[[str(name) for name in item] for item in transitions],
        initial=names[0],
        auto_transitions=False,
    )


def next_state(machine: Machine, state: State, event: str) -> State:
    """Return the state that follows ``state`` on ``event``.

    :raises ValueError: if the machine has no such transition.
    """
    known = machine.events.get(str(event))
    found = known.transitions.get(str(state)) if known is not None else None
    if not found:
        accepted = ", ".join(machine.get_triggers(str(state))) or "no event"
        raise ValueError(f"event {event} in state {state}; accepted: {accepted}")
    return type(state)(found[0].dest)

"""Life cycle of a target and of an entry VM, as seen by one daemon."""

import enum

from transitions import Machine


class TargetState(enum.StrEnum):
    """State of one incarnation of a target; new work goes to live targets only."""

    JOINING = "joining"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class VmState(enum.StrEnum):
    """State of an entry VM."""

    JOINING = "joining"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


_PRESENT = ["joining", "live", "suspect"]

# Each row is a trigger, the states that it applies to and the next state. Triggers that do not
# apply change nothing. No trigger leads from leaving back to live; a target that is gone without a
# mark was only missing from the list, and is live again when it is listed again.
TARGET_TRANSITIONS = [
    {"trigger": "listed", "source": ["joining", "suspect", "gone"], "dest": "live"},
    {"trigger": "missing", "source": ["joining", "live"], "dest": "suspect"},
    {"trigger": "mark", "source": _PRESENT, "dest": "leaving"},
    {"trigger": "released", "source": ["leaving", "suspect"], "dest": "gone"},
]

VM_TRANSITIONS = [
    {"trigger": "linked", "source": ["joining", "suspect"], "dest": "live"},
    {"trigger": "silent", "source": "live", "dest": "suspect"},
    {"trigger": "goodbye", "source": _PRESENT, "dest": "leaving"},
    {"trigger": "unlisted", "source": [*_PRESENT, "leaving"], "dest": "gone"},
]


class LifeCycle:
    """Applies triggers of a state machine to states that are kept elsewhere.

    One machine serves all targets and each of its steps is computed once, because 12,000 targets
    are read from the VM list every few seconds.

    :param rows: transitions as ``transitions.Machine`` takes them.
    """

    def __init__(self, states: type[enum.StrEnum], rows: list[dict]):
        self.states = states
        self.rows = rows
        self._machine: Machine | None = None
        self._model = _Model()
        self._known: dict[tuple[enum.StrEnum, str], enum.StrEnum] = {}

    def advance(self, state: enum.StrEnum, trigger: str) -> enum.StrEnum:
        """Return the state after ``trigger``, which is ``state`` if it does not apply."""
        found = self._known.get((state, trigger))
        if found is None:
            found = self._known[state, trigger] = self._run(state, trigger)
        return found

    def _run(self, state: enum.StrEnum, trigger: str) -> enum.StrEnum:
        if self._machine is None:
            self._machine = Machine(
                self._model,
                states=[str(item) for item in self.states],
                transitions=self.rows,
                initial=str(state),
                auto_transitions=False,
                ignore_invalid_triggers=True,
            )
        self._machine.set_state(str(state))
        self._model.trigger(trigger)
        return self.states(self._model.state)


class _Model:
    """Holds the state during one trigger."""


TARGET_LIFE = LifeCycle(TargetState, TARGET_TRANSITIONS)
VM_LIFECYCLE = LifeCycle(VmState, VM_TRANSITIONS)

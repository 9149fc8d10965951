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

# A trigger that does not apply to a state is ignored. No trigger leads from leaving back to live.
# A target that is gone without a leave mark was only missing from the VM list, so it becomes live
# when it is listed again.
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
    """Applies triggers of a state machine to states that the caller stores.

    One machine serves all targets and caches each transition, because 12,000 targets are read from
    the VM list every few seconds.

    :param transitions: transitions in the format of ``transitions.Machine``.
    """

    def __init__(self, states: type[enum.StrEnum], transitions: list[dict]):
        self.states = states
        self.transitions = transitions
        self._machine: Machine | None = None
        self._model = _Model()
        self._next_states: dict[tuple[enum.StrEnum, str], enum.StrEnum] = {}

    def advance(self, state: enum.StrEnum, trigger: str) -> enum.StrEnum:
        """Return the state after ``trigger``, or ``state`` itself if the trigger does not apply."""
        next_state = self._next_states.get((state, trigger))
        if next_state is None:
            next_state = self._next_states[state, trigger] = self._compute_next_state(
                state, trigger
            )
        return next_state

    def _compute_next_state(self, state: enum.StrEnum, trigger: str) -> enum.StrEnum:
        if self._machine is None:
            self._machine = Machine(
                self._model,
                states=[str(item) for item in self.states],
                transitions=self.transitions,
                initial=str(state),
                auto_transitions=False,
                ignore_invalid_triggers=True,
            )
        self._machine.set_state(str(state))
        self._model.trigger(trigger)
        return self.states(self._model.state)


class _Model:
    """Holds the state during one trigger."""


TARGET_LIFECYCLE = LifeCycle(TargetState, TARGET_TRANSITIONS)
VM_LIFECYCLE = LifeCycle(VmState, VM_TRANSITIONS)

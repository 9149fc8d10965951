"""Hypothesis profiles of the property-based tests.

``HYPOTHESIS_PROFILE`` selects ``ci`` (default; derandomized) or ``fuzz`` (random seeds). In
``fuzz``, ``FUZZ_FACTOR`` multiplies the number of examples of each test.
"""

import os

from hypothesis import settings

CI, FUZZ = "ci", "fuzz"
DEFAULT_EXAMPLES = 100
DEFAULT_FUZZ_FACTOR = 5.0


def load_profile() -> None:
    """Register both profiles and load the selected one.

    :raises hypothesis.errors.InvalidArgument: if the selected profile does not exist.
    """
    common = {"deadline": None, "database": None}
    settings.register_profile(CI, derandomize=True, max_examples=DEFAULT_EXAMPLES, **common)
    count = scale_examples(DEFAULT_EXAMPLES)
    settings.register_profile(
        FUZZ, derandomize=False, print_blob=True, max_examples=count, **common
    )
    settings.load_profile(profile_name())


def profile_name() -> str:
    """Return the name of the selected profile."""
    return os.environ.get("HYPOTHESIS_PROFILE", CI)


def scale_examples(examples: int) -> int:
    """Return the number of examples in the selected profile, at least 1.

    :param examples: number of examples in the ``ci`` profile.
    """
    if profile_name() != FUZZ:
        return examples
    return max(1, round(examples * float(os.environ.get("FUZZ_FACTOR", DEFAULT_FUZZ_FACTOR))))


def property_settings(max_examples: int = DEFAULT_EXAMPLES, **more) -> settings:
    """Return the Hypothesis settings of a property-based test.

    :param max_examples: number of examples in the ``ci`` profile.
    :param more: further settings, the same in both profiles, such as ``stateful_step_count``.
    """
    return settings(max_examples=scale_examples(max_examples), **more)

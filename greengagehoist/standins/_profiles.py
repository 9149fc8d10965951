"""Profiles of the generated tests: fixed seeds, or fresh seeds and more examples.

The environment variable ``HYPOTHESIS_PROFILE`` selects ``ci`` (default) or ``fuzz``. In ``fuzz``,
``FUZZ_FACTOR`` multiplies each test's own number of examples.
"""

import os

from hypothesis import settings

CI, FUZZ = "ci", "fuzz"
DEFAULT_EXAMPLES = 100
DEFAULT_FACTOR = 5.0


def load_profile() -> None:
    """Register both profiles and load the selected one.

    :raises hypothesis.errors.InvalidArgument: if the selected profile does not exist.
    """
    common = {"deadline": None, "database": None}
    settings.register_profile(CI, derandomize=True, max_examples=DEFAULT_EXAMPLES, **common)
    count = scale(DEFAULT_EXAMPLES)
    settings.register_profile(
        FUZZ, derandomize=False, print_blob=True, max_examples=count, **common
    )
    settings.load_profile(profile_name())


def profile_name() -> str:
    """Return the name of the selected profile."""
    return os.environ.get("HYPOTHESIS_PROFILE", CI)


def scale(examples: int) -> int:
    """Return how many examples a test runs in the selected profile."""
    if profile_name() != FUZZ:
        return examples
    return max(1, round(examples * float(os.environ.get("FUZZ_FACTOR", DEFAULT_FACTOR))))


def property_settings(max_examples: int = DEFAULT_EXAMPLES, **more) -> settings:
    """Return the settings of a generated test.

    :param max_examples: examples of the ``ci`` profile.
    :param more: settings that do not depend on the profile, such as ``stateful_step_count``.
    """
    return settings(max_examples=scale(max_examples), **more)

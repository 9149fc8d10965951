"""Graph of the stages of a route."""

from greengagehoist.deployment import Route

# A stage that moves at least this many bytes runs in the data centre of their source or
# destination.
LARGE_RESULT_BYTES = 500_000


def longest_path(route: Route, times: list[float]) -> list[float]:
    """Return for each stage the time of the longest path from its start to the end of the graph.

    :param times: time of each stage in seconds.
    """
    stages = route.stages
    remaining = list(times)
    for number in reversed(range(len(stages))):
        for dependency in stages[number].after:
            remaining[dependency] = max(
                remaining[dependency], times[dependency] + remaining[number]
            )
    return remaining


def final_stages(route: Route) -> tuple[int, ...]:
    """Return the stages that no other stage follows; the request reads their results."""
    followed = {dependency for stage in route.stages for dependency in stage.after}
    return tuple(number for number in range(len(route.stages)) if number not in followed)


def start_dependencies(route: Route) -> tuple[tuple[int, ...], ...]:
    """Return for each stage the stages that must end before it starts.

    A stage with large results and no inputs starts as late as the longest chain allows, because its
    results occupy memory of their replicas until the request reads them.
    """
    stages = route.stages
    remaining = [1] * len(stages)
    for number in reversed(range(len(stages))):
        for dependency in stages[number].after:
            remaining[dependency] = max(remaining[dependency], remaining[number] + 1)
    return tuple(
        (
            tuple(
                other for other in range(len(stages)) if remaining[other] == remaining[number] + 1
            )
            if stage.result_bytes >= LARGE_RESULT_BYTES and not stage.after
            else stage.after
        )
        for number, stage in enumerate(stages)
    )

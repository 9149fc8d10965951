"""Latest time at which a request may be sent so that its answer ends before the process does."""

# Allows for delays of the event loop and for the bytes that are on the way to the client.
ANSWER_MARGIN_S = 0.3
# An answer that is cut costs its caller more than a refusal, which leads to another daemon at once.
SAFETY_FACTOR = 1.5


def begin_by(finish_by: float, expected_s: float, answer_deadline: float) -> float:
    """Return the time until which a request may be sent to a replica.

    A request whose own deadline comes first is ended there in any case.

    :param finish_by: time by which all answers must have ended.
    :param expected_s: upper estimate of the seconds from the send to the end of the answer.
    :param answer_deadline: time by which the client must have the answer.
    """
    latest = finish_by - ANSWER_MARGIN_S
    if answer_deadline <= latest:
        return answer_deadline
    return latest - SAFETY_FACTOR * expected_s

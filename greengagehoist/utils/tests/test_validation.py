"""Guards against addresses and names that connect elsewhere or break a header."""

import pytest

from greengagehoist.utils import ValidationError, check_address, check_label


@pytest.mark.parametrize("address", ["127.0.0.1:0", "10.0.0.1:65535", "[::1]:80"])
def test_address_is_parsed(address):
    host, port = check_address("address", address)
    assert f"{host}:{port}" == address


@pytest.mark.parametrize(
    "port", ["", "-1", "+80", " 80", "8_0", "65536", "8\u00b2", "\u0668\u0660", "9" * 5000]
)
def test_port_is_ascii_digits_in_range(port):
    """int() accepted signs, spaces, underscores and digits of other scripts."""
    with pytest.raises(ValidationError):
        check_address("address", f"127.0.0.1:{port}")


@pytest.mark.parametrize("value", ["", " a", "a ", "a\nb", "a\x00", "\ud800", "a" * 21, 3, None])
def test_label_can_be_held_by_a_header(value):
    """A newline in a name would begin another header."""
    with pytest.raises(ValidationError):
        check_label("name", value, 20)


def test_label_may_hold_spaces_and_other_scripts():
    assert check_label("name", "b \u00e9", 20) == "b \u00e9"

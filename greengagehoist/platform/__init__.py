"""Adapter to the prepared machines: decodes and encodes their settings, store and headers."""

from greengagehoist.platform._headers import READY_PATH, PlatformWire
from greengagehoist.platform._settings import SETTINGS_VARIABLE, read_settings
from greengagehoist.platform._store import StoreCodec

__all__ = ["READY_PATH", "SETTINGS_VARIABLE", "PlatformWire", "StoreCodec", "read_settings"]

"""Adapter to the hosting platform: the codecs of its settings file, store and headers."""

from greengagehoist.platform._headers import READY_PATH, PlatformWireFormat
from greengagehoist.platform._settings import SETTINGS_VARIABLE, read_settings
from greengagehoist.platform._store import StoreCodec

__all__ = ["READY_PATH", "SETTINGS_VARIABLE", "PlatformWireFormat", "StoreCodec", "read_settings"]

"""Takes changed settings over while the process runs."""

import logging
import os
from collections.abc import Callable

import msgspec
import trio
from returns.result import Failure, Success

from berylshift.settings import Settings, read_settings

logger = logging.getLogger(__name__)

# A change without a signal is seen within this time, in seconds.
LOOK_SECONDS = 1.0
# What the listeners and clients were made from at the start.
FIXED_SECTIONS = ("host", "directory", "platform", "peers")


class FileStamp(msgspec.Struct, frozen=True):
    """What tells one state of a file from the next."""

    changed_ns: int
    size: int
    inode: int


class SettingsFile:
    """The settings file of a running process; a bad one changes nothing."""

    def __init__(self, path: str, cfg: Settings, adopt: Callable[[Settings], None]):
        """Give changed settings to ``adopt``; ``cfg`` is in force now."""
        self._path = path
        self._cfg = cfg
        self._adopt = adopt
        self._stamp = _stamp(path)

    async def watch(self) -> None:
        """Look for changes without a signal until cancelled."""
        while True:
            await trio.sleep(LOOK_SECONDS)
            if _stamp(self._path) != self._stamp:
                self.reload("file changed")

    def reload(self, cause: str) -> None:
        """Read the file anew; what can't be read leaves the last good settings."""
        self._stamp = _stamp(self._path)
        try:
            found = read_settings(self._path)
        except Exception as exc:
            # A file may be damaged in any way; raised, it would end the process.
            self._reject(cause, [repr(exc)])
            return
        match found:
            case Failure(faults):
                self._reject(cause, [str(fault) for fault in faults])
            case Success(cfg):
                self._take(cfg, cause)

    def _reject(self, cause: str, reasons: list[str]) -> None:
        logger.error("settings rejected", extra={"cause": cause, "reasons": reasons})

    def _take(self, cfg: Settings, cause: str) -> None:
        changed = [
            name
            for name in cfg.__struct_fields__
            if getattr(cfg, name) != getattr(self._cfg, name)
        ]
        fixed = [name for name in changed if name in FIXED_SECTIONS]
        logger.info(
            "settings reloaded",
            extra={"cause": cause, "changed": changed, "need_restart": fixed},
        )
        self._cfg = cfg
        self._adopt(cfg)


def _stamp(path: str) -> FileStamp | None:
    try:
        found = os.stat(path)
    except OSError:
        return None
    return FileStamp(found.st_mtime_ns, found.st_size, found.st_ino)

"""Reloads changed settings while the process runs."""

import logging
import os
from collections.abc import Callable

import msgspec
import trio
from returns.result import Failure, Success

from berylshift.settings import Settings, read_settings

logger = logging.getLogger(__name__)

# Interval at which the file is checked for changes made without a signal.
POLL_SECONDS = 1.0
# Used to create listeners and clients at startup; changes need a restart.
RESTART_SECTIONS = ("host", "directory", "platform", "peers")


class FileStamp(msgspec.Struct, frozen=True):
    """Metadata that changes when a file is rewritten or replaced."""

    modified_ns: int
    size: int
    inode: int


class SettingsFile:
    """Settings file of a running process; an invalid file changes nothing."""

    def __init__(self, path: str, cfg: Settings, apply: Callable[[Settings], None]):
        """Pass changed settings to ``apply``; ``cfg`` holds the current ones."""
        self._path = path
        self._cfg = cfg
        self._apply = apply
        self._stamp = _stamp(path)

    async def watch(self) -> None:
        """Reload the file whenever it changes, until cancelled."""
        while True:
            await trio.sleep(POLL_SECONDS)
            if _stamp(self._path) != self._stamp:
                self.reload("file changed")

    def reload(self, cause: str) -> None:
        """Read the file again; if it is invalid, keep the last valid settings."""
        self._stamp = _stamp(self._path)
        try:
            match read_settings(self._path):
                case Failure(errors):
                    self._reject(cause, [str(error) for error in errors])
                case Success(cfg):
                    self._accept(cfg, cause)
        except Exception as exc:
            # The file may be corrupt in any way; raised, it would end the process.
            self._reject(cause, [repr(exc)])

    def _reject(self, cause: str, reasons: list[str]) -> None:
        logger.error("settings rejected", extra={"cause": cause, "reasons": reasons})

    def _accept(self, cfg: Settings, cause: str) -> None:
        changed = [
            name
            for name in cfg.__struct_fields__
            if getattr(cfg, name) != getattr(self._cfg, name)
        ]
        need_restart = [name for name in changed if name in RESTART_SECTIONS]
        logger.info(
            "settings reloaded",
            extra={"cause": cause, "changed": changed, "need_restart": need_restart},
        )
        self._cfg = cfg
        self._apply(cfg)


def _stamp(path: str) -> FileStamp | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)

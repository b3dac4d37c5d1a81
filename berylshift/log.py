"""JSON logs on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def init_logging(level: str, host: str) -> None:
    """Write each record as one JSON object with the host's name."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(FIELDS, static_fields={"host": host}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)

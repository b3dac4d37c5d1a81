"""The daemon ``berylshiftd``: reads the settings and serves one of the two APIs."""

import logging
import sys
from collections.abc import Awaitable, Callable

import trio
from cleo.application import Application as CommandLine
from cleo.commands.command import Command
from cleo.helpers import option
from returns.result import Failure, Success

from berylshift import __version__
from berylshift.log import init_logging
from berylshift.settings import Credentials, Settings, read_credentials, read_settings
from berylshift.signals import ignore_early_reloads

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2


class ServeCommand(Command):
    """The daemon's only command."""

    name = "serve"
    description = "Serve callers' requests until SIGTERM."
    options = [
        option("config", "c", "The settings file.", flag=False),
        option("check", None, "Only check the settings."),
    ]

    def handle(self) -> int:
        """Read the settings and serve; return the exit code."""
        path = self.option("config")
        if not path:
            self.line_error("--config FILE.ini is needed")
            return EXIT_BAD_SETTINGS
        match read_settings(path):
            case Failure(errors):
                return self._report(errors)
            case Success(cfg):
                return self._serve(cfg, path)
        return EXIT_BAD_SETTINGS

    def _serve(self, cfg: Settings, path: str) -> int:
        if cfg.directory.kind == "platform":
            return self._serve_entry(cfg, path)
        match read_credentials(cfg.host.credentials):
            case Failure(error):
                return self._report([error])
            case Success(creds):
                if self.option("check"):
                    self.line("settings are right")
                    return EXIT_OK
                init_logging(cfg.observability.log_level, cfg.host.name)
                _run_native(cfg, creds)
        return EXIT_OK

    def _serve_entry(self, cfg: Settings, path: str) -> int:
        if self.option("check"):
            self.line("settings are right")
            return EXIT_OK
        init_logging(cfg.observability.log_level, cfg.host.name)
        _run_entry(cfg, path)
        return EXIT_OK

    def _report(self, errors: list) -> int:
        for error in errors:
            sys.stderr.write(f"{error}\n")
        return EXIT_BAD_SETTINGS


# A host serves only one of the APIs, and each is imported on demand: the modules of the
# other one take a third of the CPU time of a start, which delays a small host's first
# responses.
def _run_native(cfg: Settings, creds: Credentials) -> None:
    """Serve the native API until the process is stopped."""
    from berylshift.serve_native import serve

    run_logged(serve, cfg, creds)


def _run_entry(cfg: Settings, path: str) -> None:
    """Serve the platform's routes until the process is stopped."""
    from berylshift.serve_entry import serve_entry

    run_logged(serve_entry, cfg, path)


def run_logged(serve: Callable[..., Awaitable[None]], *args: object) -> None:
    """Run an event loop; log the error that ends it, which the caller gets."""
    try:
        trio.run(serve, *args)
    except Exception:
        # The command line prints the message of an exception group, not its parts.
        logger.critical("process ended by an error", exc_info=True)
        raise


def main() -> None:
    """Run the daemon."""
    ignore_early_reloads()
    command = ServeCommand()
    cli = CommandLine("berylshiftd", __version__)
    cli.add(command)
    # cleo has no public API for a program with a single command.
    cli._default_command = command.name
    cli._single_command = True
    sys.exit(cli.run())


if __name__ == "__main__":
    main()

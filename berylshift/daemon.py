"""The daemon ``berylshiftd``: reads settings, then serves one of the interfaces."""

import logging
import sys

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
    """The daemon's one command."""

    name = "serve"
    description = "Serve callers' requests until SIGTERM."
    options = [
        option("config", "c", "The settings file.", flag=False),
        option("check", None, "Only check the settings."),
    ]

    def handle(self) -> int:
        """Read the settings, then serve."""
        path = self.option("config")
        if not path:
            self.line_error("--config FILE.ini is needed")
            return EXIT_BAD_SETTINGS
        match read_settings(path):
            case Failure(faults):
                return self._report(faults)
            case Success(cfg):
                return self._serve(cfg, path)
        return EXIT_BAD_SETTINGS

    def _serve(self, cfg: Settings, path: str) -> int:
        if cfg.directory.kind == "platform":
            return self._serve_entry(cfg, path)
        match read_credentials(cfg.host.credentials):
            case Failure(fault):
                return self._report([fault])
            case Success(creds):
                if self.option("check"):
                    self.line("settings are right")
                    return EXIT_OK
                init_logging(cfg.observability.log_level, cfg.host.name)
                _run_own(cfg, creds)
        return EXIT_OK

    def _serve_entry(self, cfg: Settings, path: str) -> int:
        if self.option("check"):
            self.line("settings are right")
            return EXIT_OK
        init_logging(cfg.observability.log_level, cfg.host.name)
        _run_entry(cfg, path)
        return EXIT_OK

    def _report(self, faults: list) -> int:
        for fault in faults:
            sys.stderr.write(f"{fault}\n")
        return EXIT_BAD_SETTINGS


# A host serves one of the interfaces. Each is loaded when it is known which: the other
# one's modules are a third of the processor time of a start, which a small host spends
# away from its callers.
def _run_own(cfg: Settings, creds: Credentials) -> None:
    """Serve the own interface until the process is to end."""
    from berylshift.serve_native import serve

    trio.run(serve, cfg, creds)


def _run_entry(cfg: Settings, path: str) -> None:
    """Serve the platform's routes until the process is to end."""
    from berylshift.serve_entry import serve_entry

    trio.run(serve_entry, cfg, path)


def main() -> None:
    """Run the daemon."""
    ignore_early_reloads()
    command = ServeCommand()
    cli = CommandLine("berylshiftd", __version__)
    cli.add(command)
    # The library has no public way to a program of one command.
    cli._default_command = command.name
    cli._single_command = True
    sys.exit(cli.run())


if __name__ == "__main__":
    main()

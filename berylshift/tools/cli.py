"""The command-line tool ``berylshift``."""

import sys

from cleo.application import Application

from berylshift import __version__
from berylshift.tools.experiment_command import ExperimentCommand
from berylshift.tools.fuzz_command import FuzzCommand
from berylshift.tools.mark_commands import make_mark_commands
from berylshift.tools.replay_command import ReplayCommand
from berylshift.tools.soak_command import SoakCommand
from berylshift.tools.status_commands import ExplainCommand, StatusCommand
from berylshift.tools.table_commands import (
    TableExport,
    TableHistory,
    TableImport,
    TableSet,
    TableShow,
)
from berylshift.tools.usage_command import UsageCommand


def make_application() -> Application:
    """Return the application with all its commands."""
    app = Application("berylshift", __version__)
    commands = [
        TableShow(),
        TableSet(),
        TableImport(),
        TableExport(),
        TableHistory(),
        StatusCommand(),
        ExplainCommand(),
        ReplayCommand(),
        ExperimentCommand(),
        SoakCommand(),
        FuzzCommand(),
        UsageCommand(),
        *make_mark_commands(),
    ]
    for command in commands:
        app.add(command)
    return app


def main() -> None:
    """Run the command-line application."""
    sys.exit(make_application().run())


if __name__ == "__main__":
    main()

"""The command-line tool and the programs around it."""

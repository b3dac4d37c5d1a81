"""The command-line tool, demonstrations and test runner."""

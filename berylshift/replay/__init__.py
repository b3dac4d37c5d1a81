"""Replay of recorded traces, checked against expected outcomes."""

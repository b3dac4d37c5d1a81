"""Rows of confirmations that wait to be written or swept."""

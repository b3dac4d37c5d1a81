"""Limits on customers' request rates, on retries and on calls to the store."""

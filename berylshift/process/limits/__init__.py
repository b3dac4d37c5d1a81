"""Limits on customers' request rates, on retries and on calls to the store.

``shared_retry_budget`` serves the routed API, the other modules the native API.
"""

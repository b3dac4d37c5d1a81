"""Datagrams between hosts that are sent one by one, outside of load digests."""

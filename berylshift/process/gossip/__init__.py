"""Load gossip: the digests hosts exchange, and the collectors that sum them up."""

"""A soak: real host processes under load, with faults from outside, by seed."""

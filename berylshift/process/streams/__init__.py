"""The software version that began each stream, as all hosts together know it.

What replicas of two versions write does not fit together, so a stream may go on only at
the version that began it, also at a host that did not begin it.
"""

"""The queues of prefill engines as all hosts together fill them.

Digests tell a host what others sent some hundred ms ago, and most prompts are prefilled
by then. For each engine one host therefore keeps the register of its open prefills.
"""

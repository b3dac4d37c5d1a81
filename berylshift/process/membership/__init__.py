"""The hosts: who lives, what they tell each other, whether this one is ready."""

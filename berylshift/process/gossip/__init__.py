"""What hosts tell each other of their work, and who gathers it."""

"""What this process knows of engines: reports, health, costs, cached prefixes."""

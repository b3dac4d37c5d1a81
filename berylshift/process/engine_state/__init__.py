"""State of engines behind the native API: reports, health, costs, cached prefixes."""

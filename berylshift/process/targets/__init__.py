"""What a host knows of targets: load, speed, cached prefix blocks and durations."""

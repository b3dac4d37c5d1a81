"""Request handling: admission, placement, attempts and responses."""

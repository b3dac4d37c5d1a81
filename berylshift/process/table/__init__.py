"""The operators' table in this process, kept up to date."""

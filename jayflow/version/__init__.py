"""Configuration objects: parsing, validation and encoding."""

"""Values that live for one configuration version."""

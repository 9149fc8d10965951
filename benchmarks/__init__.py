"""Load and experiments."""

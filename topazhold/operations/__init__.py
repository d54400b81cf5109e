"""Duties of which there must be one holder at a time: renting, returning, cleaning up."""

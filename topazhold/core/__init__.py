"""The scheduler itself: no I/O, no clock, no global randomness."""

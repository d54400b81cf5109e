"""The scheduler's decisions, free of I/O, clocks and global randomness."""

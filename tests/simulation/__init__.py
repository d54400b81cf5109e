"""A simulated deployment in virtual time: tasks, users, faults and a checker of invariants."""

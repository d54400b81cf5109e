"""A small deployment in virtual time: tasks, users and faults, and a checker of the rules."""

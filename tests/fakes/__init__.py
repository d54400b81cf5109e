"""In-memory fakes of the services and machines around the controllers, in virtual time.

They exchange the real messages with the real controller code. All random choices come from one
seeded generator, so a run can be repeated with its seed.
"""

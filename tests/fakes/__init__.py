"""In-memory fakes of everything around the controllers, in virtual time.

They speak the real messages with the real control code. All is drawn from one seeded generator,
so that a seed gives the same run every time.
"""

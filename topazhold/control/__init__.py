"""Joins the core to the outside world."""

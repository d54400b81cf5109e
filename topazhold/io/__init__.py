"""Sockets, HTTP and peer links, on curio and h11."""

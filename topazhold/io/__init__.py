"""Transport on curio and h11: HTTP, links between controllers, rate limits, CPU accounting."""

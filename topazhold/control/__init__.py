"""Controllers: leadership, HTTP handlers, and clients of the store and the cloud."""

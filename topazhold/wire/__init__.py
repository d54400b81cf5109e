"""Messages of the protocol; the only place for its field names, which `field(name=...)` maps."""

"""Messages as they stand on the wire; the only place for their field names."""

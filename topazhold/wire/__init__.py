"""Messages of the protocol. Its field names appear only here, mapped by `field(name=...)`."""

"""Cloud operations of which one leader at a time decides: scale-out, scale-in, clean-up.

Each is recorded in the key-value store before it is sent, so that a successor completes it.
`records`, `cloud_operations`, `operation_log`, `requests`, `retention` and `lease_confidence`
have no I/O and no clock.
"""

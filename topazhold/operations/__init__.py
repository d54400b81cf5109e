"""Cloud operations, which only the leader decides: scale-out, scale-in and clean-up.

Each operation is recorded in the key-value store before it is sent, so that a successor can
complete it. `records`, `cloud_operations`, `operation_log`, `requests`, `retention` and
`lease_confidence` do no I/O and read no clock.
"""

"""What packages need of each other without importing one another: interfaces and their errors.

`control` implements them; `operations` uses them. Nothing here imports `control` or `operations`.
"""

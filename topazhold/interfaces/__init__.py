"""Interfaces, and their errors, that decouple `operations` from `control`.

`control` implements them and `operations` uses them. Nothing here imports either package.
"""

"""Settings of the daemons and the files that operators publish.

Public parts: `daemon` (one INI file for each process), `published` (folders
of operator files), `ini` (INI text with all its problems) and `values`
(readers of single settings).
"""

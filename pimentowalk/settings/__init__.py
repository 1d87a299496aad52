"""Settings of the daemons and the files that operators publish.

Public modules: `daemon` and `gateway` (one INI file for each process),
`published` (folders of operator files), `ini` (parsing of INI text that
collects every problem) and `values` (parsers of single settings).
"""

"""Command line for operators.

Public modules: `main` (the program `pimentowalk`), `operator_file` (identity
of the operator and addresses of the control instances) and one module for
each group of commands.
"""

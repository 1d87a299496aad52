"""Commands for operators.

Public parts: `main` (the program `pimentowalk`), `operator_file` (who the
operator is and where control is) and one module for each group of commands.
"""

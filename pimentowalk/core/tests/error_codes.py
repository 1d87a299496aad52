"""Assertions on error codes."""

import pytest

from pimentowalk.core import errors


def raises(code):
    """Return a context manager that expects an error with this code."""
    return pytest.raises(
        errors.PimentowalkError, check=lambda error: error.code == code
    )

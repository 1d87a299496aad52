"""Expect errors of the project by their code."""

import pytest

from pimentowalk.core import errors


def raises(code):
    """Return a context that needs an error with this code."""
    return pytest.raises(
        errors.PimentowalkError, check=lambda error: error.code == code
    )

"""Show that each proof fails on the fault that it is there to find."""

import inspect

import attrs
import pytest

from pimentowalk.entry import assembly
from pimentowalk.entry import claims
from pimentowalk.entry import failures
from pimentowalk.entry import service_call
from pimentowalk.entry.tests import proofs

ANSWER = assembly.AnswerAssembly


def _offer_without_index(self, token):
    if self.complete or self._fenced or not self._is_current_attempt(token):
        return []
    if not self._is_same_request(token):
        return []
    self._check_layers(token)
    self._check_end_marker(token)
    self.token_ids.append(token.token_id)
    self.complete = token.last
    return [token]


def _skip(self, token):
    return None


def _always(self, *arguments):
    return True


def _retry_once(self, error):
    return len(self.records) < 2


def _check_end_without_count(self, token):
    checked = attrs.evolve(token, token_count=token.token_index + 1)
    return _CHECK_END(self, checked)


def _any_proven(error, records):
    proven = [record for record in records if record.never_admitted]
    return _REQUEST_FAILURE(error, proven[-1:] or records)


async def _open_without_claim(self, spec, server, attempt, timeout_s):
    return claims.HeldClaim(spec.account.name, spec.key, 'none')


_CHECK_END = ANSWER._check_end_marker
_REQUEST_FAILURE = failures.request_failure
_REQUEST = service_call.ServiceRequest

# Name of the fault, what it replaces, by what, and the proof that finds it.
FAULTS = [
    (
        'index check left out',
        (ANSWER, 'offer', _offer_without_index),
        proofs.answers_match_the_naive_version,
    ),
    (
        'request check left out',
        (ANSWER, '_is_same_request', _always),
        proofs.answers_match_the_naive_version,
    ),
    (
        'attempt check left out',
        (ANSWER, '_is_current_attempt', _always),
        proofs.answers_match_the_naive_version,
    ),
    (
        'layer tiling not checked',
        (ANSWER, '_check_layers', _skip),
        proofs.answers_match_the_naive_version,
    ),
    (
        'end marker count not checked',
        (ANSWER, '_check_end_marker', _check_end_without_count),
        proofs.answers_match_the_naive_version,
    ),
    (
        'retry after an unknown outcome',
        (_REQUEST, '_may_retry', _retry_once),
        proofs.bookings_run_at_most_once,
    ),
    (
        'call sent without a claim',
        (claims.ClaimClient, 'open', _open_without_claim),
        proofs.bookings_run_at_most_once,
    ),
    (
        'one proof taken for all attempts',
        (failures, 'request_failure', _any_proven),
        proofs.not_run_is_only_reported_with_proof,
    ),
]
PROOFS = [
    proofs.answers_match_the_naive_version,
    proofs.bookings_run_at_most_once,
    proofs.not_run_is_only_reported_with_proof,
    proofs.cut_streams_do_not_look_complete,
]


async def run(proof):
    """Run a proof of either kind."""
    result = proof()
    if inspect.isawaitable(result):
        await result


@pytest.mark.parametrize('proof', PROOFS, ids=lambda p: p.__name__)
async def test_proofs_hold(proof):
    """A guarantee that does not hold without a fault is broken."""
    await run(proof)


@pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault[0])
async def test_proofs_find_the_fault(fault, monkeypatch):
    """A proof that passes with its fault would prove nothing."""
    _, change, proof = fault
    monkeypatch.setattr(*change)
    with pytest.raises(AssertionError):
        await run(proof)

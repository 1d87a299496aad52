"""Mutation tests: each check must fail for the faults it is meant to find."""

import inspect

import attrs
import pytest

from pimentowalk.entry import assembly
from pimentowalk.entry import claims
from pimentowalk.entry import failures
from pimentowalk.entry import service_call
from pimentowalk.entry.tests import proofs

ASSEMBLY = assembly.AnswerAssembly


def _offer_without_index_check(self, token):
    if self.complete or self._fenced or not self._is_current_attempt(token):
        return []
    if not self._is_same_request(token):
        return []
    self._check_layers(token)
    self._check_end_marker(token)
    self.token_ids.append(token.token_id)
    self.complete = token.last
    return [token]


def _skip_check(self, token):
    return None


def _return_true(self, *arguments):
    return True


def _retry_once_regardless(self, error):
    return len(self.records) < 2


def _check_end_marker_without_count(self, token):
    checked = attrs.evolve(token, token_count=token.token_index + 1)
    return _CHECK_END_MARKER(self, checked)


def _failure_with_one_proof(error, records):
    proven = [record for record in records if record.never_admitted]
    return _REQUEST_FAILURE(error, proven[-1:] or records)


async def _open_without_claim(self, spec, server, attempt, timeout_s):
    return claims.HeldClaim(spec.account.name, spec.key, 'none')


_CHECK_END_MARKER = ASSEMBLY._check_end_marker
_REQUEST_FAILURE = failures.request_failure
_SERVICE_REQUEST = service_call.ServiceRequest

# Name of the fault, (object, attribute, replacement), and the check that must
# detect it.
FAULTS = [
    (
        'token index not checked',
        (ASSEMBLY, 'offer', _offer_without_index_check),
        proofs.answers_match_the_naive_version,
    ),
    (
        'request id not checked',
        (ASSEMBLY, '_is_same_request', _return_true),
        proofs.answers_match_the_naive_version,
    ),
    (
        'attempt number not checked',
        (ASSEMBLY, '_is_current_attempt', _return_true),
        proofs.answers_match_the_naive_version,
    ),
    (
        'layer ranges not checked',
        (ASSEMBLY, '_check_layers', _skip_check),
        proofs.answers_match_the_naive_version,
    ),
    (
        'end marker count not checked',
        (ASSEMBLY, '_check_end_marker', _check_end_marker_without_count),
        proofs.answers_match_the_naive_version,
    ),
    (
        'retry after an unknown outcome',
        (_SERVICE_REQUEST, '_may_retry', _retry_once_regardless),
        proofs.bookings_run_at_most_once,
    ),
    (
        'call sent without a claim',
        (claims.ClaimClient, 'open', _open_without_claim),
        proofs.bookings_run_at_most_once,
    ),
    (
        'proof of one attempt taken for all attempts',
        (failures, 'request_failure', _failure_with_one_proof),
        proofs.not_run_is_only_reported_with_proof,
    ),
]
CHECKS = [
    proofs.answers_match_the_naive_version,
    proofs.bookings_run_at_most_once,
    proofs.not_run_is_only_reported_with_proof,
    proofs.interrupted_streams_do_not_look_complete,
]


async def run_check(check):
    """Run a check, which may be a function or a coroutine function."""
    result = check()
    if inspect.isawaitable(result):
        await result


@pytest.mark.parametrize('check', CHECKS, ids=lambda check: check.__name__)
async def test_checks_pass_without_faults(check):
    """The guarantees hold for the unchanged code."""
    await run_check(check)


@pytest.mark.parametrize('fault', FAULTS, ids=lambda fault: fault[0])
async def test_checks_detect_the_fault(fault, monkeypatch):
    """A check that passes with its fault in place checks nothing."""
    _, replacement, check = fault
    monkeypatch.setattr(*replacement)
    with pytest.raises(AssertionError):
        await run_check(check)

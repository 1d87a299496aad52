"""Assembly of one answer from the tokens of its attempts."""

from pimentowalk.core import errors

# Tokens that overtook others are held until the gap closes. A larger gap
# means lost frames, which the stall timeout finds.
MAX_EARLY_TOKENS = 64


class AnswerAssembly:
    """Accept each token of an answer once and in order.

    >>> answer = AnswerAssembly(b'id', total_layers=4, max_tokens=8)
    >>> answer.begin(1)
    >>> answer.next_index, answer.complete
    (0, False)
    """

    def __init__(self, request_id, total_layers, max_tokens):
        self.request_id = request_id
        self.total_layers = total_layers
        self.max_tokens = max_tokens
        self.attempt = 0
        self.token_ids = []
        self.complete = False
        self.finish_reason = ''
        self._fenced = True
        self._early = {}

    @property
    def next_index(self):
        """Return the index of the next token."""
        return len(self.token_ids)

    def begin(self, attempt):
        """Accept from now on only tokens of this attempt."""
        if attempt <= self.attempt:
            raise ValueError(f'attempt {attempt} is not a new one')
        self.attempt = attempt
        self._fenced = False
        self._early.clear()

    def fence(self):
        """Accept no token until the next attempt begins."""
        self._fenced = True
        self._early.clear()

    def offer(self, token):
        """Return the tokens that are now in order, possibly none.

        Tokens of other requests or attempts and duplicates are dropped. A
        token that contradicts the answer raises FrameError; tokens before
        it have been returned by then.
        """
        if self.complete or self._fenced:
            return []
        if not (self._is_own(token) and self._is_current(token)):
            return []
        if token.token_index < self.next_index:
            return []
        self._check_index(token)
        self._check_layers(token)
        self._check_end(token)
        self._early.setdefault(token.token_index, token)
        return self._release()

    def _is_own(self, token):
        return token.request_id == self.request_id

    def _is_current(self, token):
        return token.attempt == self.attempt

    def _check_index(self, token):
        if token.token_index >= self.max_tokens:
            raise _fault(token, f'exceeds {self.max_tokens} tokens')
        if token.token_index - self.next_index > MAX_EARLY_TOKENS:
            raise _fault(token, 'is too far ahead')

    def _check_layers(self, token):
        if not tiles(token.ranges, self.total_layers):
            raise _fault(
                token,
                f'ran layers {_text(token.ranges)} of all {self.total_layers}',
            )

    def _check_end(self, token):
        if token.last and token.token_count != token.token_index + 1:
            raise _fault(token, f'ends an answer of {token.token_count}')
        # The end and a token beyond it cannot both belong to the answer.
        for index, early in self._early.items():
            if token.last and index > token.token_index:
                raise _fault(token, f'ends before token {index}')
            if early.last and index < token.token_index:
                raise _fault(token, f'follows the end at {index}')

    def _release(self):
        released = []
        while self.next_index in self._early:
            token = self._early.pop(self.next_index)
            self.token_ids.append(token.token_id)
            self.complete = token.last
            self.finish_reason = token.finish_reason
            released.append(token)
        return released


def tiles(ranges, total_layers):
    """Return whether layer ranges tile [0, total_layers) in order."""
    boundary = 0
    for layers in ranges:
        if layers.first_layer != boundary or layers.end_layer <= boundary:
            return False
        boundary = layers.end_layer
    return boundary == total_layers


def _text(ranges):
    return ' '.join(f'{r.first_layer}-{r.end_layer}' for r in ranges)


def _fault(token, problem):
    return errors.FrameError(
        f'token {token.token_index} of attempt {token.attempt} {problem}',
        step='assemble',
    )

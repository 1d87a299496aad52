"""Assemble one response from the tokens of successive attempts."""

from pimentowalk.core import errors

# Tokens that arrive out of order are buffered until the gap before them is
# filled. A gap larger than this means that frames were lost and is an error;
# a smaller gap that stays open ends in the stall timeout.
REORDER_WINDOW_TOKENS = 64


class AnswerAssembly:
    """Accept each token of a response exactly once and in order.

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
        self._out_of_order = {}

    @property
    def next_index(self):
        """Return the index of the next expected token."""
        return len(self.token_ids)

    def begin(self, attempt):
        """Accept only tokens of this attempt from now on."""
        if attempt <= self.attempt:
            raise ValueError(
                f'attempt {attempt} does not follow attempt {self.attempt}'
            )
        self.attempt = attempt
        self._fenced = False
        self._out_of_order.clear()

    def fence(self):
        """Drop all tokens until the next attempt begins."""
        self._fenced = True
        self._out_of_order.clear()

    def offer(self, token):
        """Add a token; return the tokens that are now in order, if any.

        Duplicates and tokens of other requests or attempts are dropped.
        Raises FrameError for a token that contradicts the response; the
        tokens before the contradiction have already been returned.
        """
        if self.complete or self._fenced:
            return []
        if not (
            self._is_same_request(token) and self._is_current_attempt(token)
        ):
            return []
        if token.token_index < self.next_index:
            return []
        self._check_index(token)
        self._check_layers(token)
        self._check_end_marker(token)
        self._out_of_order.setdefault(token.token_index, token)
        return self._take_in_order()

    def _is_same_request(self, token):
        return token.request_id == self.request_id

    def _is_current_attempt(self, token):
        return token.attempt == self.attempt

    def _check_index(self, token):
        if token.token_index >= self.max_tokens:
            raise _frame_error(
                token, f'exceeds the limit of {self.max_tokens} tokens'
            )
        if token.token_index - self.next_index > REORDER_WINDOW_TOKENS:
            raise _frame_error(
                token, 'is too far ahead of the next expected token'
            )

    def _check_layers(self, token):
        if not covers_all_layers(token.ranges, self.total_layers):
            raise _frame_error(
                token,
                f'ran layers {_format_ranges(token.ranges)} instead of all '
                f'{self.total_layers}',
            )

    def _check_end_marker(self, token):
        if token.last and token.token_count != token.token_index + 1:
            raise _frame_error(
                token, f'is the last of {token.token_count} tokens'
            )
        # The end marker and a token after it contradict each other.
        for index, early in self._out_of_order.items():
            if token.last and index > token.token_index:
                raise _frame_error(
                    token, f'is marked as the last, but token {index} exists'
                )
            if early.last and index < token.token_index:
                raise _frame_error(token, f'follows the last token {index}')

    def _take_in_order(self):
        in_order = []
        while self.next_index in self._out_of_order:
            token = self._out_of_order.pop(self.next_index)
            self.token_ids.append(token.token_id)
            self.complete = token.last
            self.finish_reason = token.finish_reason
            in_order.append(token)
        return in_order


def covers_all_layers(ranges, total_layers):
    """Return whether the ranges cover [0, total_layers) in order, once."""
    next_layer = 0
    for layers in ranges:
        if layers.first_layer != next_layer or layers.end_layer <= next_layer:
            return False
        next_layer = layers.end_layer
    return next_layer == total_layers


def _format_ranges(ranges):
    return ' '.join(
        f'{layers.first_layer}-{layers.end_layer}' for layers in ranges
    )


def _frame_error(token, problem):
    return errors.FrameError(
        f'token {token.token_index} of attempt {token.attempt} {problem}',
        step='assemble',
    )

"""Read OpenAI-compatible requests and write their replies."""

import json
import secrets
import time

import attrs

from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.entry import context as entry_context
from pimentowalk.entry import model_call

DEFAULT_MAX_TOKENS = 256
# Larger answers could not be passed on as `generated` within one frame.
HIGHEST_MAX_TOKENS = 32_768
DEFAULT_TEMPERATURE = 1.0
HIGHEST_SEED = 2**63 - 1


@attrs.frozen
class Shape:
    """How one of the two APIs names things."""

    id_prefix: str
    whole: str
    piece: str

    def choice(self, text, finish_reason, *, streamed):
        """Return the one choice of a reply or of a streamed piece."""
        choice = {'index': 0, 'finish_reason': finish_reason or None}
        if self.id_prefix == 'cmpl':
            return {**choice, 'text': text, 'logprobs': None}
        content = {'role': 'assistant', 'content': text}
        return {**choice, 'delta' if streamed else 'message': content}


COMPLETION = Shape('cmpl', 'text_completion', 'text_completion')
CHAT = Shape('chatcmpl', 'chat.completion', 'chat.completion.chunk')


def bad_request(message):
    """Return the error of a malformed request."""
    return errors.PimentowalkError(message, code='bad_request', step='parse')


def parse_body(content):
    """Return the JSON object of a request; raise PimentowalkError."""
    try:
        body = json.loads(content)
    except (ValueError, RecursionError):
        raise bad_request('the body is not JSON') from None
    if not isinstance(body, dict):
        raise bad_request('the body is not a JSON object')
    return body


def _number(body, name, default, kinds, lowest, highest):
    value = body.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, kinds):
        raise bad_request(f'{name} is not a number')
    if not lowest <= value <= highest:
        raise bad_request(f'{name} is not within {lowest} to {highest}')
    return value


def _text(content):
    if isinstance(content, str):
        return content
    if isinstance(content, list) and all(
        isinstance(part, dict) and isinstance(part.get('text'), str)
        for part in content
    ):
        return ''.join(part['text'] for part in content)
    raise bad_request('the content of a message is not text')


def prompt_of(body, shape):
    """Return the prompt, or the messages joined to one.

    >>> prompt_of({'messages': [{'role': 'user', 'content': 'Hi'}]}, CHAT)
    'user: Hi\\nassistant: '
    """
    if shape is COMPLETION:
        prompt = body.get('prompt')
        if not isinstance(prompt, str):
            raise bad_request('prompt is not a string')
    else:
        prompt = _joined(body.get('messages'))
    # Frames carry text as UTF-8, which has no form for lone surrogates.
    if any('\ud800' <= character <= '\udfff' for character in prompt):
        raise bad_request('the prompt holds lone surrogates')
    return prompt.replace('\x00', '')


def _joined(conversation):
    if not isinstance(conversation, list) or not conversation:
        raise bad_request('messages is not a list of messages')
    lines = []
    for message in conversation:
        if not isinstance(message, dict) or not isinstance(
            message.get('role'), str
        ):
            raise bad_request('a message has no role')
        lines.append(f'{message["role"]}: {_text(message.get("content"))}\n')
    return ''.join(lines) + 'assistant: '


def find_model(configuration, account, name):
    """Return the service and adapter of `model` or `model:adapter`."""
    if not isinstance(name, str) or not name:
        raise bad_request('model is not a name')
    service, adapter = configuration.service_of_model(name), ''
    if service is None and ':' in name:
        base, adapter = name.rsplit(':', 1)
        service = configuration.service_of_model(base)
    known = service is not None and adapter in ('', *service.adapters)
    if not known or not may_use(account, service):
        raise errors.PimentowalkError(
            f'no model {name!r}', code='not_found', step='find_model'
        )
    return service, adapter


def may_use(account, service):
    """Return whether an account may use a service."""
    return not account.services or service.name in account.services


def model_spec(context, account, shape, body, request):
    """Return the model request of a parsed body.

    `request` gives the request id, the path and the caller's timeout.
    """
    configuration = context.configuration
    name = body.get('model')
    service, adapter = find_model(configuration, account, name)
    route = entry_context.route_of(configuration, service, request.path)
    prompt = prompt_of(body, shape)
    max_tokens = _number(
        body, 'max_tokens', DEFAULT_MAX_TOKENS, int, 1, HIGHEST_MAX_TOKENS
    )
    seed = _number(body, 'seed', None, int, 0, HIGHEST_SEED)
    temperature = _number(
        body, 'temperature', DEFAULT_TEMPERATURE, (int, float), 0, 2
    )
    return model_call.ModelSpec(
        request_id=request.request_id,
        account=account,
        service=service,
        route=route,
        adapter=adapter,
        prompt=prompt,
        max_tokens=max_tokens,
        seed=secrets.randbits(62) if seed is None else seed,
        temperature=float(temperature),
        # The seed as the caller gave it, so that a resend has the same one.
        fingerprint=identifiers.hash64(
            account.name,
            name,
            json.dumps([prompt, max_tokens, seed, temperature]),
        ),
        scope_version=context.scope_version(
            f'service/{service.name}',
            f'route/{route.name}',
            f'account/{account.name}',
        ),
        deadline_s=request.deadline_s(route),
    )


class Reply:
    """Build the reply to one model request."""

    def __init__(self, shape, model, request_id):
        self._shape = shape
        self._base = {
            'id': f'{shape.id_prefix}-{request_id.hex()}',
            'created': int(time.time()),
            'model': model,
        }

    def whole(self, text, finish_reason, usage):
        """Return the reply to a request that is not streamed."""
        choice = self._shape.choice(text, finish_reason, streamed=False)
        return {
            **self._base,
            'object': self._shape.whole,
            'choices': [choice],
            'usage': usage,
        }

    def piece(self, token):
        """Return the server-sent event of one token."""
        reason = (token.finish_reason or 'stop') if token.last else ''
        choice = self._shape.choice(token.text, reason, streamed=True)
        return event(
            {
                **self._base,
                'object': self._shape.piece,
                'choices': [choice],
            }
        )


def event(value, name=''):
    """Return a server-sent event with JSON data."""
    head = f'event: {name}\n' if name else ''
    return f'{head}data: {json.dumps(value)}\n\n'.encode()


def usage(spec, token_count):
    """Return the token counts of a reply; the prompt's is an estimate."""
    return {
        'prompt_tokens': spec.prompt_tokens,
        'completion_tokens': token_count,
        'total_tokens': spec.prompt_tokens + token_count,
    }

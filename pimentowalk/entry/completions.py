"""Parse OpenAI-compatible requests and build their responses."""

import json
import secrets
import time

import attrs

from pimentowalk.core import errors
from pimentowalk.core import identifiers
from pimentowalk.entry import context as entry_context
from pimentowalk.entry import model_call

DEFAULT_MAX_TOKENS = 256
# A retry sends the tokens so far as `generated`, which must fit in one frame.
MAX_TOKENS_LIMIT = 32_768
DEFAULT_TEMPERATURE = 1.0
MAX_SEED = 2**63 - 1


@attrs.frozen
class ApiFormat:
    """Object types and response fields of one of the two APIs."""

    id_prefix: str
    object_type: str
    chunk_object_type: str

    def choice(self, text, finish_reason, *, streamed):
        """Return the single choice of a response or of a streamed chunk."""
        choice = {'index': 0, 'finish_reason': finish_reason or None}
        if self.id_prefix == 'cmpl':
            return {**choice, 'text': text, 'logprobs': None}
        content = {'role': 'assistant', 'content': text}
        return {**choice, 'delta' if streamed else 'message': content}


COMPLETION = ApiFormat('cmpl', 'text_completion', 'text_completion')
CHAT = ApiFormat('chatcmpl', 'chat.completion', 'chat.completion.chunk')


def bad_request(message):
    """Return the error for a malformed request."""
    return errors.PimentowalkError(message, code='bad_request', step='parse')


def parse_body(content):
    """Return the JSON object of a request body; raise PimentowalkError."""
    try:
        body = json.loads(content)
    except (ValueError, RecursionError):
        raise bad_request('the body is not JSON') from None
    if not isinstance(body, dict):
        raise bad_request('the body is not a JSON object')
    return body


def _read_number(body, name, default, types, minimum, maximum):
    value = body.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, types):
        raise bad_request(f'{name} is not a number')
    if not minimum <= value <= maximum:
        raise bad_request(f'{name} is not within {minimum} to {maximum}')
    return value


def _message_text(content):
    if isinstance(content, str):
        return content
    if isinstance(content, list) and all(
        isinstance(part, dict) and isinstance(part.get('text'), str)
        for part in content
    ):
        return ''.join(part['text'] for part in content)
    raise bad_request('the content of a message is not text')


def read_prompt(body, api_format):
    """Return the prompt, or the chat messages joined to one prompt.

    >>> read_prompt({'messages': [{'role': 'user', 'content': 'Hi'}]}, CHAT)
    'user: Hi\\nassistant: '
    """
    if api_format is COMPLETION:
        prompt = body.get('prompt')
        if not isinstance(prompt, str):
            raise bad_request('prompt is not a string')
    else:
        prompt = _join_messages(body.get('messages'))
    # Frames carry text as UTF-8, which cannot encode lone surrogates.
    if any('\ud800' <= character <= '\udfff' for character in prompt):
        raise bad_request('the prompt contains lone surrogates')
    return prompt.replace('\x00', '')


def _join_messages(conversation):
    if not isinstance(conversation, list) or not conversation:
        raise bad_request('messages is not a list of messages')
    lines = []
    for message in conversation:
        if not isinstance(message, dict) or not isinstance(
            message.get('role'), str
        ):
            raise bad_request('a message has no role')
        lines.append(
            f'{message["role"]}: {_message_text(message.get("content"))}\n'
        )
    return ''.join(lines) + 'assistant: '


def find_model(configuration, account, name):
    """Return the service and adapter for `model` or `model:adapter`."""
    if not isinstance(name, str) or not name:
        raise bad_request('model is not a non-empty string')
    service, adapter = configuration.service_of_model(name), ''
    if service is None and ':' in name:
        base, adapter = name.rsplit(':', 1)
        service = configuration.service_of_model(base)
    found = service is not None and adapter in ('', *service.adapters)
    if not found or not may_use_service(account, service):
        raise errors.PimentowalkError(
            f'no model {name!r}', code='not_found', step='find_model'
        )
    return service, adapter


def may_use_service(account, service):
    """Return whether an account may use a service."""
    return not account.services or service.name in account.services


def model_spec(account, api_format, body, request):
    """Return the specification of the model request in a parsed body.

    `request` provides the request id, the path and the caller's timeout. All
    of it comes from the configuration that admitted the request: with a newer
    one, agents would not refuse a request that a change has overtaken.
    """
    configuration = request.configuration
    name = body.get('model')
    service, adapter = find_model(configuration, account, name)
    route = entry_context.find_route(configuration, service, request.path)
    prompt = read_prompt(body, api_format)
    max_tokens = _read_number(
        body, 'max_tokens', DEFAULT_MAX_TOKENS, int, 1, MAX_TOKENS_LIMIT
    )
    seed = _read_number(body, 'seed', None, int, 0, MAX_SEED)
    temperature = _read_number(
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
        # Contains the seed as sent by the caller, not a random one, so that
        # a resent request has the same fingerprint.
        fingerprint=identifiers.hash64(
            account.name,
            name,
            json.dumps([prompt, max_tokens, seed, temperature]),
        ),
        scope_version=configuration.scope_version(
            f'service/{service.name}',
            f'route/{route.name}',
            f'account/{account.name}',
        ),
        deadline_s=request.deadline_s(route),
    )


class ReplyBuilder:
    """Build the response to one model request."""

    def __init__(self, api_format, model, request_id):
        self._api_format = api_format
        self._base = {
            'id': f'{api_format.id_prefix}-{request_id.hex()}',
            'created': int(time.time()),
            'model': model,
        }

    def body(self, text, finish_reason, token_usage):
        """Return the body of a response that is not streamed."""
        choice = self._api_format.choice(text, finish_reason, streamed=False)
        return {
            **self._base,
            'object': self._api_format.object_type,
            'choices': [choice],
            'usage': token_usage,
        }

    def chunk_event(self, token):
        """Return the server-sent event for one token."""
        reason = (token.finish_reason or 'stop') if token.last else ''
        choice = self._api_format.choice(token.text, reason, streamed=True)
        return sse_event(
            {
                **self._base,
                'object': self._api_format.chunk_object_type,
                'choices': [choice],
            }
        )


def sse_event(value, name=''):
    """Return an encoded server-sent event with JSON data."""
    head = f'event: {name}\n' if name else ''
    return f'{head}data: {json.dumps(value)}\n\n'.encode()


def token_usage(spec, token_count):
    """Return the token counts of a response; the prompt's is estimated."""
    return {
        'prompt_tokens': spec.prompt_tokens,
        'completion_tokens': token_count,
        'total_tokens': spec.prompt_tokens + token_count,
    }

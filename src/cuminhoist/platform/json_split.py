"""Splits the text of a JSON object into its members.

A strict decoder refuses a whole document for one bad byte, and a recursive one
for one deep value. This finds where each member begins and ends from quotes,
brackets, colons and commas alone, in linear time, so that each can be decoded
by itself.
"""

import itertools
import re

# Possessive repetition keeps the time linear.
_STRING = r'"(?:[^"\\]++|\\.)*+"'
_BRACKETS = r'[\[{]++|[\]}]++'
#: Text up to the next run of brackets.
_TO_BRACKETS = re.compile(
    rf'(?:[^"\[\]{{}}]++|{_STRING})*+({_BRACKETS})', re.DOTALL
)
#: Text up to the next comma or run of brackets.
_TO_COMMA = re.compile(
    rf'(?:[^"\[\]{{}},]++|{_STRING})*+({_BRACKETS}|,)', re.DOTALL
)
_KEY = re.compile(rf'\s*{_STRING}', re.DOTALL)
_DEPTH_CHANGES = {
    **dict.fromkeys(b'[{', 1),
    **dict.fromkeys(b']}', -1),
}
_NO_BRACKETS = bytes(set(range(256)) - _DEPTH_CHANGES.keys())
_WHITESPACE = ' \t\r\n'


def split_object(text: str) -> list[tuple[str, str]]:
    """Return the members of an object as texts of key and value.

    Neither is checked; a member without a colon has an empty value.

    :param text: text of the object.
    :raises ValueError: if the text is no object, or its brackets or quotes do
        not match.
    """
    body = text.strip(_WHITESPACE)
    if not body.startswith('{'):
        raise ValueError('not an object')
    members = []
    start = 1
    for place in (*_commas(body), len(body) - 1):
        members.append(_split_member(body[start:place]))
        start = place + 1
    return [member for member in members if any(member)]


def nesting_depth(body: bytes) -> int:
    """Return how deeply lists and objects are nested, without decoding.

    :param body: the document.
    """
    # Without escapes, every other quote ends a text.
    unescaped = body.replace(rb'\\', b'').replace(rb'\"', b'')
    outside = b''.join(unescaped.split(b'"')[::2])
    marks = outside.translate(None, _NO_BRACKETS)
    changes = map(_DEPTH_CHANGES.__getitem__, marks)
    return max(itertools.accumulate(changes), default=0)


def _split_member(text: str) -> tuple[str, str]:
    """Return key and value; a colon within a key that is a string is none."""
    key = _KEY.match(text)
    end = key.end() if key else 0
    name, _, rest = text[end:].partition(':')
    key_text = text[:end] + name
    return key_text.strip(_WHITESPACE), rest.strip(_WHITESPACE)


def _commas(text: str) -> list[int]:
    """Return the places of the commas of the outermost object."""
    places = []
    depth = 0
    end = 0
    while end < len(text):
        pattern = _TO_COMMA if depth == 1 else _TO_BRACKETS
        token = pattern.match(text, end)
        if token is None:
            raise ValueError('a string or a bracket has no end')
        end = token.end()
        mark = token[1]
        depth += _depth_change(mark)
        if mark == ',':
            places.append(end - 1)
        # The outermost object ends where the text ends, and not before.
        elif depth < 1 and (depth, end) != (0, len(text)):
            raise ValueError('more brackets are closed than opened')
    if depth:
        raise ValueError('a bracket is not closed')
    return places


def _depth_change(mark: str) -> int:
    if mark[0] in '[{':
        return len(mark)
    return -len(mark) if mark[0] in ']}' else 0

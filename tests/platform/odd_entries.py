"""Builders of pages of the platform's list of targets, with odd entries."""

import json


def entry(**changes):
    """Return a sound entry of the list, or one that differs."""
    return {
        'backend': 'svc',
        'address': '10.128.0.9:8080',
        'zone': 'a',
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'cold_remaining_ms': 1500,
        'born': 5,
        **changes,
    }


def encoded(**changes):
    """Return the JSON text of an entry."""
    return json.dumps(entry(**changes))


def raw_entry(field):
    """Return the text of an entry with one more field, given as text."""
    return f'{encoded()[:-1]},{field}}}'


def page(*members, token=None):
    """Return the bytes of a page; a text that is no string stays as it is.

    :param members: pairs of the id and the text of an entry.
    :param token: token of the next page, if there is one.
    """
    instances = ','.join(
        f'{name if name.startswith(chr(34)) else json.dumps(name)}:{text}'
        for name, text in members
    )
    content = f'{{"instances":{{{instances}}},'
    content += f'"next_page_token":{json.dumps(token)}}}'
    try:
        return content.encode('utf-8', 'surrogateescape')
    except UnicodeEncodeError:
        return content.encode('utf-8', 'surrogatepass')


#: Entries of which none names a target, by what is odd about them.
ODD_ENTRIES = {
    'surrogate': encoded(backend='caf\udce9'),
    'surrogate in an unused field': encoded(version='\ud800'),
    'control byte': raw_entry('"note":"caf\x02"'),
    'line break': raw_entry('"note":"a\nb"'),
    'no UTF-8': raw_entry('"note":"caf\udce9"'),
    'NaN': raw_entry('"note":NaN'),
    'infinity': encoded(cold_remaining_ms=float('inf')),
    'deep lists': raw_entry(f'"note":{"[" * 1100}{"]" * 1100}'),
    'deep objects': raw_entry('"a":{' * 5000 + '}' * 5000),
    'deep entry': '[' * 100_000 + ']' * 100_000,
    'brackets in a text': encoded(state='}]{['),
    'quote and backslash': encoded(state='\\"}\\'),
    'slots of 64 bits': encoded(slots=2**64),
    'slots of 63 bits': encoded(slots=2**63),
    'slots of 5,000 digits': raw_entry(f'"slots":{"9" * 5000}'),
    'too many slots': encoded(slots=10**6),
    'negative slots': encoded(slots=-1),
    'start of 64 bits': encoded(born=2**64),
    'negative start': encoded(born=-1),
    'negative warm-up': encoded(cold_remaining_ms=-1e300),
    'endless warm-up': encoded(cold_remaining_ms=1e300),
    'warm-up over the range of floats': raw_entry('"cold_remaining_ms":1e400'),
    'port 0': encoded(address='10.128.0.9:0'),
    'port over 65535': encoded(address='10.128.0.9:65536'),
    'negative port': encoded(address='10.128.0.9:-1'),
    'port of 5,000 digits': encoded(address='10.128.0.9:' + '8' * 5000),
    'port with an underscore': encoded(address='10.128.0.9:80_80'),
    'port in other digits': encoded(address='10.128.0.9:\u0668\u0660'),
    'port with a space': encoded(address='10.128.0.9: 80'),
    'service of megabytes': encoded(backend='x' * 2_000_000),
    'empty service': encoded(backend=''),
    'unknown state': encoded(state='odd'),
    'mistyped state': encoded(state=1),
    'missing field': '{"backend":"svc"}',
    'no object': '"text"',
    'null': 'null',
    'cut number': '{"slots":1e}',
    'no value': '',
}

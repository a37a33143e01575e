"""Strategies of odd values, and of messages with odd content."""

import json

import msgspec
from hypothesis import strategies as st
from msgspec import inspect

#: Integers around the limits of what frames and other decoders hold.
ODD_INTEGERS = st.sampled_from(
    [0, -1, 65536, 2**31, 2**53, 2**63 - 1, 2**63, 2**64 - 1, -(2**63)]
)
_TOO_LARGE = st.sampled_from([2**64, -(2**63) - 1, 10**400])
_TEXTS = st.sampled_from(['', 'a', '\x02', '\ud800', '}]"\\', 'x' * 5000])
_FLOATS = st.floats() | st.sampled_from([1e308, -1e308, -0.0])


def _deep(depth):
    nested = []
    for _ in range(depth):
        nested = [nested]
    return nested


#: Values that a JSON document may hold; some are no valid JSON.
ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | ODD_INTEGERS
    | _TOO_LARGE
    | _FLOATS
    | _TEXTS
    | st.sampled_from([50, 150, 300]).map(_deep),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(_TEXTS, inner, max_size=3)
    ),
    max_leaves=5,
)


def odd_text(value, *, raw=False):
    """Return the JSON text of a value.

    :param value: the value.
    :param raw: whether control bytes and surrogates stand in it as they are.
    """
    text = json.dumps(value, ensure_ascii=not raw)
    return text.replace('\\u0002', '\x02') if raw else text


@st.composite
def changed(draw, document):
    """Return a JSON document in which one place has an odd value."""
    copied = json.loads(json.dumps(document))
    place = copied
    while True:
        keys = list(place) if isinstance(place, dict) else range(len(place))
        key = draw(st.sampled_from(list(keys)))
        inner = place[key]
        if (
            not isinstance(inner, dict | list)
            or not inner
            or draw(st.booleans())
        ):
            place[key] = draw(ODD_VALUES)
            return copied
        place = inner


def wire_values(kind):
    """Return what a frame may hold for a field of a message.

    :param kind: type of the field, as msgspec describes it.
    """
    builders = {
        inspect.IntType: lambda: ODD_INTEGERS | st.integers(-5, 5),
        inspect.FloatType: lambda: _FLOATS | st.floats(0, 5),
        inspect.StrType: lambda: st.sampled_from(
            ['', 'a', 'c0', 'south', '\n']
        ),
        inspect.BoolType: st.booleans,
        inspect.BytesType: lambda: st.binary(max_size=5),
        inspect.NoneType: st.none,
        inspect.EnumType: lambda: st.sampled_from(
            [one.value for one in kind.cls]
        ),
        inspect.StructType: lambda: _struct(kind),
        inspect.UnionType: lambda: st.one_of(*map(wire_values, kind.types)),
        inspect.TupleType: lambda: st.tuples(
            *map(wire_values, kind.item_types)
        ),
        inspect.DictType: lambda: st.dictionaries(
            wire_values(kind.key_type), wire_values(kind.value_type), max_size=2
        ),
    }
    build = builders.get(type(kind))
    if build is None:
        return st.lists(wire_values(kind.item_type), max_size=3)
    return build()


def _struct(kind):
    values = [wire_values(field.type) for field in kind.fields]
    tag = [] if kind.tag is None else [st.just(kind.tag)]
    if kind.array_like:
        return st.tuples(*tag, *values)
    fields = {
        field.encode_name: strategy
        for field, strategy in zip(kind.fields, values, strict=True)
    }
    if kind.tag is not None:
        fields[kind.tag_field] = tag[0]
    return st.fixed_dictionaries(fields)


def messages(*message_types):
    """Return messages of some types whose fields are odd.

    :param message_types: the types.
    """
    return st.one_of(*map(_message, message_types))


def _message(message_type):
    wire = wire_values(inspect.type_info(message_type))
    return wire.map(
        lambda content: msgspec.msgpack.decode(
            msgspec.msgpack.encode(content), type=message_type
        )
    )

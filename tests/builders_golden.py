"""Builds samples of all messages and stored records, and describes them.

``python -m tests.builders_golden NAME`` writes the golden file of the present
code. One is written for each version that goes into production and is not
changed afterwards.
"""

import importlib
import json
import pathlib
import pkgutil
import sys

import msgspec

import cuminhoist
from cuminhoist import codec
from cuminhoist.register.acceptor import Identity
from cuminhoist.register.declared_state import DeclaredState
from cuminhoist.register.messages import AcceptedState, Ballot

GOLDEN_FOLDER = pathlib.Path(__file__).with_name('golden')
#: Types of the stored records, by the names of their files.
RECORD_TYPES = {
    'identity': Identity,
    'promised': Ballot,
    'held': AcceptedState,
    'learned': DeclaredState,
}
_SAMPLES = {
    msgspec.inspect.BoolType: True,
    msgspec.inspect.IntType: 7,
    msgspec.inspect.FloatType: 1.5,
    msgspec.inspect.StrType: 'text',
    msgspec.inspect.BytesType: b'bytes',
    msgspec.inspect.NoneType: None,
    msgspec.inspect.AnyType: 'any',
    msgspec.inspect.RawType: msgspec.Raw(msgspec.msgpack.encode(7)),
}


def message_types():
    """Return the registered messages of the package by frame name."""
    for module in pkgutil.walk_packages(
        cuminhoist.__path__, f'{cuminhoist.__name__}.'
    ):
        if not module.name.endswith('__main__'):
            importlib.import_module(module.name)
    return {
        name: message_type
        for name, message_type in codec._types_by_frame_name.items()
        if message_type.__module__.startswith('cuminhoist.')
    }


def sample_of(wanted):
    """Return an instance of a type with all fields set.

    :param wanted: the type.
    """
    return _sample(msgspec.inspect.type_info(wanted))


def describe(wanted):
    """Return the fields of a struct and of those in it, by struct name.

    :param wanted: the struct.
    """
    described = {}
    _describe_struct(msgspec.inspect.type_info(wanted), described)
    return described


def golden_of_present_code():
    """Return the content of the golden file of the present code."""
    content = {'messages': {}, 'records': {}, 'structs': {}}
    for name, message_type in sorted(message_types().items()):
        sample = sample_of(message_type)
        content['messages'][name] = {
            'struct': message_type.__name__,
            'frame': codec.Codec('golden', 'sender').encode(sample).hex(),
            'content': plain(sample),
        }
        content['structs'].update(describe(message_type))
    for name, record_type in RECORD_TYPES.items():
        sample = sample_of(record_type)
        content['records'][name] = {
            'struct': record_type.__name__,
            'record': msgspec.msgpack.encode(sample).hex(),
            'content': plain(sample),
        }
        content['structs'].update(describe(record_type))
    return content


def read_golden_files():
    """Return the content of all golden files by their names."""
    return {
        path.stem: json.loads(path.read_text())
        for path in sorted(GOLDEN_FOLDER.glob('*.json'))
    }


def contains(present, golden):
    """Tell whether a value has all that a golden one has.

    Arrays may have further elements at their end, maps further keys.

    :param present: what the present code decoded, as plain values.
    :param golden: the golden value, as plain values.
    """
    if isinstance(golden, list):
        return len(present) >= len(golden) and all(
            map(contains, present, golden)
        )
    if isinstance(golden, dict):
        return present.keys() >= golden.keys() and all(
            contains(present[key], content) for key, content in golden.items()
        )
    return present == golden


def plain(sample):
    """Return a value as it is compared with a golden one.

    :param sample: the value.
    """
    return msgspec.to_builtins(sample, enc_hook=bytes.hex)


def _sample(info):
    if isinstance(info, msgspec.inspect.StructType):
        return info.cls(
            **{field.name: _sample(field.type) for field in info.fields}
        )
    if isinstance(info, msgspec.inspect.UnionType):
        return _sample(_first_present(info.types))
    if isinstance(info, msgspec.inspect.EnumType):
        return next(iter(info.cls))
    if isinstance(info, msgspec.inspect.TupleType):
        return tuple(map(_sample, info.item_types))
    if isinstance(info, msgspec.inspect.DictType):
        return {_sample(info.key_type): _sample(info.value_type)}
    if hasattr(info, 'item_type'):
        kinds = {'VarTupleType': tuple, 'ListType': list, 'SetType': set}
        kind = kinds.get(type(info).__name__, frozenset)
        return kind([_sample(info.item_type)])
    return _SAMPLES[type(info)]


def _first_present(types):
    return next(
        kind for kind in types if not isinstance(kind, msgspec.inspect.NoneType)
    )


def _describe_struct(info, described):
    if info.cls.__name__ in described:
        return
    described[info.cls.__name__] = {
        'array': info.array_like,
        'tag': info.tag,
        'fields': [
            [field.encode_name, _type_text(field.type), field.required]
            for field in info.fields
        ],
    }
    for field in info.fields:
        for inner in _structs_in(field.type):
            _describe_struct(inner, described)


def _structs_in(info):
    if isinstance(info, msgspec.inspect.StructType):
        return [info]
    parts = [
        *getattr(info, 'types', ()),
        *getattr(info, 'item_types', ()),
        *(
            getattr(info, name)
            for name in ('item_type', 'key_type', 'value_type')
            if hasattr(info, name)
        ),
    ]
    return [struct for part in parts for struct in _structs_in(part)]


def _type_text(info):
    if isinstance(info, msgspec.inspect.StructType):
        return info.cls.__name__
    if isinstance(info, msgspec.inspect.UnionType):
        return ' | '.join(sorted(map(_type_text, info.types)))
    if isinstance(info, msgspec.inspect.EnumType):
        # An older build refuses a value that it does not know.
        return f'one of {sorted(map(str, info.cls))}'
    if isinstance(info, msgspec.inspect.TupleType):
        return f'({", ".join(map(_type_text, info.item_types))})'
    if isinstance(info, msgspec.inspect.DictType):
        return f'{{{_type_text(info.key_type)}: {_type_text(info.value_type)}}}'
    if hasattr(info, 'item_type'):
        return f'[{_type_text(info.item_type)}]'
    return type(info).__name__.removesuffix('Type').lower()


def _write_golden_file(name):
    # One line for each entry keeps the file readable.
    sections = [
        f'"{section}": {{\n'
        + ',\n'.join(
            f'"{key}": {json.dumps(entries[key], sort_keys=True)}'
            for key in sorted(entries)
        )
        + '\n}'
        for section, entries in golden_of_present_code().items()
    ]
    text = '{\n' + ',\n'.join(sections) + '\n}\n'
    (GOLDEN_FOLDER / f'{name}.json').write_text(text)


if __name__ == '__main__':
    _write_golden_file(sys.argv[1])

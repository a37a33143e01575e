"""Spans as JSON lines, and the trace context passed between instances."""

import json
import threading

from cuminhoist.tracing import Tracer

INCOMING = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


def test_spans_are_written_and_continued(tmp_path):
    """Guards against broken traces, lost spans and a thread left at a stop."""
    path = tmp_path / 'spans.jsonl'
    threads = threading.active_count()
    tracer = Tracer.from_config(str(path), 'entry-1')
    with tracer.span('request', INCOMING, caller='acme'):
        with tracer.span('attempt', target='catalogue-01', number=1):
            traceparent = tracer.outgoing_traceparent()
    tracer.close()
    assert threading.active_count() == threads
    inner, outer = [json.loads(line) for line in path.read_text().splitlines()]
    assert [inner['name'], outer['name']] == ['attempt', 'request']
    assert outer['trace_id'] == inner['trace_id'] == INCOMING.split('-')[1]
    assert outer['parent_id'] == INCOMING.split('-')[2]
    assert inner['parent_id'] == outer['span_id']
    assert inner['instance'] == 'entry-1'
    assert inner['attributes'] == {'target': 'catalogue-01', 'number': 1}
    assert traceparent == f'00-{inner["trace_id"]}-{inner["span_id"]}-01'


def test_off_passes_the_context_on():
    """Guards against a trace that breaks at an instance without tracing."""
    tracer = Tracer.from_config('', 'entry-1')
    with tracer.span('request', INCOMING, caller='acme') as span:
        span.set_attribute('a', 1)
        assert tracer.outgoing_traceparent(INCOMING) == INCOMING
    assert not tracer.enabled
    tracer.close()


def test_malformed_context_starts_a_trace(tmp_path):
    """Guards against a crash on a malformed ``traceparent`` header."""
    tracer = Tracer.from_config(str(tmp_path / 'spans.jsonl'), 'entry-1')
    with tracer.span('request', 'é\x00-'):
        assert tracer.outgoing_traceparent().startswith('00-')
    tracer.close()

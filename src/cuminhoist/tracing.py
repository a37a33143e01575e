"""Writes OpenTelemetry spans as JSON lines to the traces file.

Without a traces file no spans are made, and a span costs next to nothing.
"""

import contextlib
import pathlib
from collections.abc import Sequence
from types import TracebackType
from typing import Any, Self

import msgspec
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from .logging_setup import logger

TRACEPARENT = 'traceparent'
#: Delay between writes of finished spans to the file.
EXPORT_DELAY_MS = 1000
#: Limit of spans that wait to be written; further ones are dropped.
MAX_QUEUED_SPANS = 20_000

_NS_PER_S = 1_000_000_000
_log = logger('tracing')
_propagator = TraceContextTextMapPropagator()


class SpanRecord(msgspec.Struct, frozen=True):
    """One line of the traces file.

    :param start: start of the span, as Unix time in seconds.
    :param duration_ms: duration of the span.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    instance: str
    start: float
    duration_ms: float
    attributes: dict[str, Any]


class JsonLinesExporter(SpanExporter):
    """Appends spans to a file as JSON lines.

    :param path: path of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('ab')

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write finished spans.

        :param spans: the spans.
        """
        lines = [msgspec.json.encode(_span_record(span)) for span in spans]
        try:
            self._file.write(b'\n'.join((*lines, b'')))
            self._file.flush()
        except OSError as exc:
            _log.warning('Could not write spans to the traces file: {}.', exc)
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


class Tracer:
    """Makes spans and propagates the trace context.

    :param provider: tracer provider of the SDK; without one, no spans are
        made.
    """

    def __init__(self, provider: TracerProvider | None = None) -> None:
        self._provider = provider
        self._tracer = None
        if provider is not None:
            self._tracer = provider.get_tracer('cuminhoist')

    @classmethod
    def from_config(cls, traces_file: str, instance: str) -> Self:
        """Build a tracer that writes to a file.

        :param traces_file: path of the file; if empty, no spans are made.
        :param instance: name of this instance, written with each span.
        """
        if not traces_file:
            return cls()
        provider = TracerProvider(
            resource=Resource({'service.instance.id': instance}),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(
            BatchSpanProcessor(
                JsonLinesExporter(pathlib.Path(traces_file)),
                max_queue_size=MAX_QUEUED_SPANS,
                schedule_delay_millis=EXPORT_DELAY_MS,
            ),
        )
        return cls(provider)

    @property
    def enabled(self) -> bool:
        """Whether spans are made."""
        return self._tracer is not None

    def span(
        self,
        name: str,
        incoming: str = '',
        **attributes: str | float,
    ) -> contextlib.AbstractContextManager[Any]:
        """Return a context manager that runs its block as a span.

        :param name: name of the span.
        :param incoming: ``traceparent`` header of the trace to continue; empty
            to start a trace or continue the current span.
        :param attributes: attributes of the span.
        """
        if self._tracer is None:
            return _NO_SPAN
        context = None
        if incoming:
            context = _propagator.extract({TRACEPARENT: incoming})
        return self._tracer.start_as_current_span(
            name,
            context=context,
            attributes=attributes,
        )

    def outgoing_traceparent(self, incoming: str = '') -> str:
        """Return the ``traceparent`` header for the next receiver.

        :param incoming: header of the request; passed on unchanged if no
            spans are made.
        """
        if self._tracer is None:
            return incoming
        carrier: dict[str, str] = {}
        _propagator.inject(carrier)
        return carrier.get(TRACEPARENT, incoming)

    def close(self) -> None:
        """Write the remaining spans and stop the thread that writes them."""
        if self._provider is not None:
            self._provider.shutdown()


class _NoSpan(contextlib.AbstractContextManager['_NoSpan']):
    """Span that records nothing, used if tracing is off."""

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Leave the block."""

    def set_attribute(self, key: str, value: str | float) -> None:
        """Ignore an attribute.

        :param key: name of the attribute.
        :param value: value of the attribute.
        """


_NO_SPAN = _NoSpan()


def _span_record(span: ReadableSpan) -> SpanRecord:
    context = span.context
    start = span.start_time or 0
    end = span.end_time or start
    return SpanRecord(
        trace_id=trace.format_trace_id(context.trace_id) if context else '',
        span_id=trace.format_span_id(context.span_id) if context else '',
        parent_id=(
            trace.format_span_id(span.parent.span_id) if span.parent else ''
        ),
        name=span.name,
        instance=str(span.resource.attributes.get('service.instance.id', '')),
        start=start / _NS_PER_S,
        duration_ms=(end - start) / _NS_PER_S * 1000,
        attributes=dict(span.attributes or {}),
    )

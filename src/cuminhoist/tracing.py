"""Traces as JSON lines; spans cost next to nothing when no file is set."""

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
#: Spans wait this long before they are written.
EXPORT_DELAY_MS = 1000
#: Spans beyond this number are dropped until the writer catches up.
MAX_QUEUED_SPANS = 20_000

_NS = 1_000_000_000
_log = logger('tracing')
_propagator = TraceContextTextMapPropagator()


class SpanRecord(msgspec.Struct, frozen=True):
    """One line of the traces file.

    :param start: Unix time in seconds.
    :param duration_ms: how long the span lasted.
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
    """Appends spans to a file.

    :param path: the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('ab')

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans.

        :param spans: the spans.
        """
        lines = [msgspec.json.encode(_record(span)) for span in spans]
        try:
            self._file.write(b'\n'.join((*lines, b'')))
            self._file.flush()
        except OSError as exc:
            _log.warning('Cannot write spans: {}.', exc)
            return SpanExportResult.FAILURE
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


class Tracer:
    """Makes spans and passes the trace context on.

    :param provider: the provider of the SDK; None makes no spans.
    """

    def __init__(self, provider: TracerProvider | None = None) -> None:
        self._provider = provider
        self._tracer = None
        if provider is not None:
            self._tracer = provider.get_tracer('cuminhoist')

    @classmethod
    def from_config(cls, traces_file: str, instance: str) -> Self:
        """Build a tracer that writes to a file.

        :param traces_file: the file; empty makes no spans.
        :param instance: name of this instance, written into each span.
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
        :param incoming: ``traceparent`` header to continue, if any.
        :param attributes: what to record with the span.
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
        """Return the ``traceparent`` header for the next hop.

        :param incoming: header to pass on unchanged when no spans are made.
        """
        if self._tracer is None:
            return incoming
        carrier: dict[str, str] = {}
        _propagator.inject(carrier)
        return carrier.get(TRACEPARENT, incoming)

    def close(self) -> None:
        """Write the remaining spans and end the writer's thread."""
        if self._provider is not None:
            self._provider.shutdown()


class _NoSpan(contextlib.AbstractContextManager['_NoSpan']):
    """Runs its block without a span."""

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Leave the block."""

    def set_attribute(self, key: str, text: str | float) -> None:
        """Drop an attribute.

        :param key: its name.
        :param text: its value.
        """


_NO_SPAN = _NoSpan()


def _record(span: ReadableSpan) -> SpanRecord:
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
        start=start / _NS,
        duration_ms=(end - start) / _NS * 1000,
        attributes=dict(span.attributes or {}),
    )

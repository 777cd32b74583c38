// Package telemetry exports what the core has done as OTLP metrics and spans. It runs
// outside the loop's goroutine and never holds it up: what finds no room is dropped and
// counted.
package telemetry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlpmetric/otlpmetrichttp"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/core"
	"ferryfront.example/ferryfront/internal/tracecontext"
)

// Config says where to export to and what the numbers of the core's records are called.
type Config struct {
	Endpoint, Instance, Version string
	Settings                    admission.Settings // names of classes and plans; an answer after its class's aim is late
	Every                       time.Duration      // between exports
	Queue                       int                // records, and spans, that may wait
	Log                         *slog.Logger
}

// record is one thing that happened: a stream's end, or a counter call's answer.
type record struct {
	stream  *core.StreamRecord
	outcome admission.Outcome
	took    time.Duration
}

// Exporter is a [core.Observer].
type Exporter struct {
	cfg     Config
	set     atomic.Pointer[admission.Settings] // those in force; places of classes and plans stay
	queue   chan record
	dropped atomic.Int64 // records and spans that found no room or could not be exported
	waiting atomic.Int64 // spans made and not exported yet
	told    atomic.Int64 // Unix time of the last complaint
	done    chan struct{}

	spans                      *sdktrace.TracerProvider
	metrics                    *sdkmetric.MeterProvider
	tracer                     trace.Tracer
	streams, upstreams, counts metric.Float64Histogram
}

// New starts an exporter. Nothing is sent before the first export is due.
func New(cfg Config) (*Exporter, error) {
	e := &Exporter{cfg: cfg, queue: make(chan record, cfg.Queue), done: make(chan struct{})}
	ctx := context.Background()
	base := strings.TrimSuffix(cfg.Endpoint, "/")
	spans, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(base+"/v1/traces"))
	if err != nil {
		return nil, fmt.Errorf("telemetry: traces: %w", err)
	}
	metrics, err := otlpmetrichttp.New(ctx, otlpmetrichttp.WithEndpointURL(base+"/v1/metrics"))
	if err != nil {
		return nil, fmt.Errorf("telemetry: metrics: %w", err)
	}
	// The client reports its failures to one handler of the process.
	otel.SetErrorHandler(otel.ErrorHandlerFunc(e.complain))
	res := resource.NewSchemaless(attribute.String("service.name", "ferryfront"),
		attribute.String("service.version", cfg.Version), attribute.String("service.instance.id", cfg.Instance))
	e.spans = sdktrace.NewTracerProvider(sdktrace.WithResource(res), sdktrace.WithIDGenerator(told{}),
		sdktrace.WithSampler(sdktrace.AlwaysSample()), sdktrace.WithBatcher(counted{spans, e},
			sdktrace.WithBatchTimeout(cfg.Every), sdktrace.WithMaxQueueSize(cfg.Queue)))
	e.metrics = sdkmetric.NewMeterProvider(sdkmetric.WithResource(res),
		sdkmetric.WithReader(sdkmetric.NewPeriodicReader(metrics, sdkmetric.WithInterval(cfg.Every))))
	e.tracer = e.spans.Tracer("ferryfront")
	meter := e.metrics.Meter("ferryfront")
	var errs [4]error
	e.streams, errs[0] = meter.Float64Histogram("ferryfront.stream.duration", metric.WithUnit("s"),
		metric.WithDescription("from a request's arrival to its answer"))
	e.upstreams, errs[1] = meter.Float64Histogram("ferryfront.upstream_request.duration", metric.WithUnit("s"),
		metric.WithDescription("of an upstream request, connecting included"))
	e.counts, errs[2] = meter.Float64Histogram("ferryfront.counter_call.duration", metric.WithUnit("s"),
		metric.WithDescription("of a call to the quota counter"))
	_, errs[3] = meter.Int64ObservableCounter("ferryfront.telemetry.dropped",
		metric.WithDescription("records and spans dropped for want of room or a working endpoint"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(e.dropped.Load())
			return nil
		}))
	if err := errors.Join(errs[:]...); err != nil {
		return nil, fmt.Errorf("telemetry: %w", err)
	}
	e.Follow(cfg.Settings)
	go e.run()
	return e, nil
}

// Follow goes on under other settings.
func (e *Exporter) Follow(s admission.Settings) { e.set.Store(&s) }

// complainEvery bounds how often a failing endpoint is told of.
const complainEvery = 30 * time.Second

func (e *Exporter) complain(err error) {
	now := time.Now().Unix()
	last := e.told.Load()
	if now-last >= int64(complainEvery/time.Second) && e.told.CompareAndSwap(last, now) {
		e.cfg.Log.Warn("telemetry not exported", "error", err, "dropped", e.dropped.Load())
	}
}

// StreamEnded takes a stream's end. It never waits.
func (e *Exporter) StreamEnded(r core.StreamRecord) { e.put(record{stream: &r}) }

// CounterAnswered takes the answer of a counter call. It never waits.
func (e *Exporter) CounterAnswered(o admission.Outcome, took time.Duration) {
	e.put(record{outcome: o, took: took})
}

func (e *Exporter) put(r record) {
	select {
	case e.queue <- r:
	default:
		e.dropped.Add(1)
	}
}

// Dropped tells how much was dropped so far.
func (e *Exporter) Dropped() int64 { return e.dropped.Load() }

// Shutdown exports what is left, as far as there is time. Nothing may be put after it.
func (e *Exporter) Shutdown(ctx context.Context) error {
	close(e.queue)
	select {
	case <-e.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	return errors.Join(e.spans.Shutdown(ctx), e.metrics.Shutdown(ctx))
}

func (e *Exporter) run() {
	defer close(e.done)
	ctx := context.Background()
	for r := range e.queue {
		if r.stream == nil {
			e.counts.Record(ctx, r.took.Seconds(), metric.WithAttributes(attribute.String("outcome", r.outcome.String())))
			continue
		}
		e.stream(ctx, r.stream)
	}
}

// class names a record's class.
func (e *Exporter) class(i int) string {
	if set := e.set.Load(); i >= 0 && i < len(set.Classes) {
		return set.Classes[i].Name
	}
	return "none"
}

// plan names a record's plan.
func (e *Exporter) plan(i int) string {
	if set := e.set.Load(); i >= 0 && i < len(set.Plans) {
		return set.Plans[i].Name
	}
	return "none"
}

// wall turns the loop's clock, which counts from the Unix epoch, into a time.
func wall(d time.Duration) time.Time { return time.Unix(0, int64(d)) }

func (e *Exporter) stream(ctx context.Context, r *core.StreamRecord) {
	class, end := attribute.String("class", e.class(r.Class)), attribute.String("end", r.Kind.String())
	plan := attribute.String("plan", e.plan(r.Plan))
	e.streams.Record(ctx, r.Took.Seconds(), metric.WithAttributes(class, plan, end))
	for _, t := range r.Attempts {
		if t.Took > 0 {
			e.upstreams.Record(ctx, t.Took.Seconds(), metric.WithAttributes(class,
				attribute.String("outcome", t.Outcome.String())))
		}
	}
	need := int64(1 + len(r.Attempts))
	if e.waiting.Load()+need > int64(e.cfg.Queue) { // the client's own queue would drop without counting
		e.dropped.Add(need)
		return
	}
	e.waiting.Add(need)
	ids := spanIDs{trace.TraceID(r.Trace.Trace), trace.SpanID(r.Trace.Span)}
	if ids.trace.IsValid() {
		if parent := trace.SpanID(r.Trace.Parent); parent.IsValid() {
			ctx = trace.ContextWithRemoteSpanContext(ctx, trace.NewSpanContext(trace.SpanContextConfig{TraceID: ids.trace,
				SpanID: parent, Remote: true}))
		}
		ctx = context.WithValue(ctx, idsKey{}, ids)
	}
	ctx, span := e.tracer.Start(ctx, "stream", trace.WithTimestamp(wall(r.StartedAt)),
		trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(class, plan, end,
			attribute.String("dealer", fmt.Sprintf("%016x", r.Customer)), attribute.Bool("retry", r.IsRetry),
			attribute.Bool("in_time", e.inTime(r))))
	if r.Kind == core.Failed || r.Kind == core.Expired {
		span.SetStatus(codes.Error, r.Kind.String())
	}
	for i, t := range r.Attempts {
		if ids.trace.IsValid() { // the upstream host was told this one
			ctx = context.WithValue(ctx, idsKey{}, spanIDs{ids.trace, trace.SpanID(r.Trace.Span.Try(i))})
		}
		outcome := "abandoned"
		ended := r.StartedAt + r.Took
		if t.Took > 0 {
			outcome, ended = t.Outcome.String(), t.StartedAt+t.Took
		}
		_, child := e.tracer.Start(ctx, "upstream request", trace.WithTimestamp(wall(t.StartedAt)),
			trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
				attribute.String("upstream_host", t.Host), attribute.String("outcome", outcome)))
		if outcome != admission.OK.String() {
			child.SetStatus(codes.Error, outcome)
		}
		child.End(trace.WithTimestamp(wall(ended)))
	}
	span.End(trace.WithTimestamp(wall(r.StartedAt + r.Took)))
}

// inTime tells whether a stream was served while its answer was of use.
func (e *Exporter) inTime(r *core.StreamRecord) bool {
	set := e.set.Load()
	return r.Kind == core.Served && r.Class >= 0 && r.Class < len(set.Classes) && r.Took <= set.Classes[r.Class].LatencyTarget
}

// told is a generator of ids that gives out those that a context tells of: they went into headers long before
// the span is made.
type told struct{}

type idsKey struct{}

type spanIDs struct {
	trace trace.TraceID
	span  trace.SpanID
}

// NewIDs begins a trace.
func (told) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	if ids, ok := ctx.Value(idsKey{}).(spanIDs); ok {
		return ids.trace, ids.span
	}
	c := tracecontext.New(rand.Uint64(), rand.Uint64())
	return trace.TraceID(c.Trace), trace.SpanID(tracecontext.Span(rand.Uint64()))
}

// NewSpanID goes on with one.
func (told) NewSpanID(ctx context.Context, _ trace.TraceID) trace.SpanID {
	if ids, ok := ctx.Value(idsKey{}).(spanIDs); ok {
		return ids.span
	}
	return trace.SpanID(tracecontext.Span(rand.Uint64()))
}

// counted notes what becomes of spans.
type counted struct {
	sdktrace.SpanExporter
	e *Exporter
}

// ExportSpans passes spans on and counts those that were lost.
func (c counted) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	err := c.SpanExporter.ExportSpans(ctx, spans)
	c.e.waiting.Add(-int64(len(spans)))
	if err != nil {
		c.e.dropped.Add(int64(len(spans)))
	}
	return err
}

package org.turmericspan.events;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.turmericspan.ids.MonotonicClock;

/**
 * Writes events as JSON lines on its own thread. Each severity has its own limit of events per second, so that many
 * routine events never suppress failures. Events that exceed the limit or the bounded queue are dropped; their number
 * is logged with the first event of a later second.
 */
public final class JsonEventLog implements EventLog, AutoCloseable {
    /** Events that wait for the writer thread; bounds memory to about 1 MB. */
    private static final int QUEUE_CAPACITY = 2_000;
    /** Allows about four events for each of 50 requests per second on a small VM. */
    private static final int MAX_ROUTINE_EVENTS_PER_SECOND = 200;
    /** Allows for a configuration that changes every upstream. */
    private static final int MAX_NOTICES_PER_SECOND = 300;

    private static final int MAX_FAILURES_PER_SECOND = 300;
    /** Time for which the writer thread collects events before a write, so that it wakes up rarely. */
    private static final long BATCH_MILLIS = 500;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final JsonFactory jsonFactory = new JsonFactory();
    private final ArrayBlockingQueue<QueuedEvent> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Map<Event.Severity, Integer> windowCounts = new EnumMap<>(Event.Severity.class);
    private final String node;
    private final MonotonicClock clock;
    private final LongSupplier wallMillis;
    private final OutputStream output;
    private final Thread writer;
    private volatile boolean closed;
    private long windowStartNanos;
    private long droppedEvents;

    /**
     * Creates a log and starts its writer thread.
     *
     * @param node name of this node, written in each line
     * @param clock clock of the rate limits
     * @param wallMillis time of day written in each line, in Unix milliseconds
     * @param output stream that receives the lines in UTF-8
     */
    public JsonEventLog(String node, MonotonicClock clock, LongSupplier wallMillis, OutputStream output) {
        this.node = node;
        this.clock = clock;
        this.wallMillis = wallMillis;
        this.output = output;
        this.windowStartNanos = clock.nowNanos();
        this.writer = new Thread(this::writeUntilClosed, "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public synchronized void write(Event event) {
        startWindowIfDue();
        int count = windowCounts.merge(event.severity(), 1, Integer::sum);
        if (count > maxPerSecond(event.severity()) || !queue.offer(new QueuedEvent(wallMillis.getAsLong(), event))) {
            droppedEvents++;
        }
    }

    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startWindowIfDue() {
        long now = clock.nowNanos();
        if (now - windowStartNanos < WINDOW_NANOS) {
            return;
        }
        windowStartNanos = now;
        windowCounts.clear();
        if (droppedEvents > 0
                && queue.offer(new QueuedEvent(
                        wallMillis.getAsLong(),
                        Event.notice("log", "Lines dropped.").with("lines", droppedEvents)))) {
            droppedEvents = 0;
        }
    }

    private static int maxPerSecond(Event.Severity severity) {
        return switch (severity) {
            case ROUTINE -> MAX_ROUTINE_EVENTS_PER_SECOND;
            case NOTICE -> MAX_NOTICES_PER_SECOND;
            case FAILURE -> MAX_FAILURES_PER_SECOND;
        };
    }

    private String format(QueuedEvent queued) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = jsonFactory.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("t", queued.timeMillis());
            json.writeStringField("node", node);
            json.writeStringField("part", queued.event().part());
            json.writeStringField("event", queued.event().message());
            for (Event.Field field : queued.event().fields()) {
                writeField(json, field);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("Cannot format a log event as JSON", e);
        }
        return text.append('\n').toString();
    }

    private static void writeField(JsonGenerator json, Event.Field field) throws IOException {
        if (field.value() instanceof Integer number) {
            json.writeNumberField(field.name(), number);
        } else if (field.value() instanceof Long number) {
            json.writeNumberField(field.name(), number);
        } else if (field.value() instanceof Boolean bool) {
            json.writeBooleanField(field.name(), bool);
        } else {
            json.writeStringField(field.name(), String.valueOf(field.value()));
        }
    }

    private void writeUntilClosed() {
        while (!closed) {
            StringBuilder batch = new StringBuilder();
            try {
                batch.append(format(queue.take()));
                TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS);
            } catch (InterruptedException e) {
                closed = true;
            }
            writeBatch(batch);
        }
        writeBatch(new StringBuilder());
    }

    private void writeBatch(StringBuilder batch) {
        for (QueuedEvent queued = queue.poll(); queued != null; queued = queue.poll()) {
            batch.append(format(queued));
        }
        try {
            output.write(batch.toString().getBytes(StandardCharsets.UTF_8));
            output.flush();
        } catch (IOException e) {
            // The failure cannot be logged, since the output of the log itself failed. The writer thread stops.
            closed = true;
        }
    }

    /** An event and its Unix time. The writer thread formats it, to keep that work off the request path. */
    private record QueuedEvent(long timeMillis, Event event) {}
}

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
 * Writes events as JSON lines from one thread of its own. Each severity has a budget of lines a second, so that routine
 * lines never displace failures; lines beyond it, or beyond the bounded queue, are counted and the count is written.
 */
public final class JsonEventLog implements EventLog, AutoCloseable {
    /** Lines waiting for the writer; bounds memory to about 1 MB. */
    private static final int QUEUE_LINES = 2_000;
    /** Routine lines a second; about four lines for each of 50 requests a second on a small VM. */
    private static final int ROUTINE_PER_SECOND = 200;
    /** Notices a second; a configuration with every upstream changed fits. */
    private static final int NOTICES_PER_SECOND = 300;
    /** Failures a second. */
    private static final int FAILURES_PER_SECOND = 300;
    /** Time by which the writer gathers lines, so that it wakes up seldom. */
    private static final long GATHER_MILLIS = 200;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CLOSE_MILLIS = 500;

    private final JsonFactory factory = new JsonFactory();
    private final ArrayBlockingQueue<Line> lines = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Map<Event.Severity, Integer> written = new EnumMap<>(Event.Severity.class);
    private final String node;
    private final MonotonicClock clock;
    private final LongSupplier wallMillis;
    private final OutputStream output;
    private final Thread writer;
    private volatile boolean closed;
    private long windowStartNanos;
    private long dropped;

    /**
     * Starts the writer.
     *
     * @param node name written in each line
     * @param clock monotonic time
     * @param wallMillis time of day written in each line, in Unix milliseconds
     * @param output where lines go
     */
    public JsonEventLog(String node, MonotonicClock clock, LongSupplier wallMillis, OutputStream output) {
        this.node = node;
        this.clock = clock;
        this.wallMillis = wallMillis;
        this.output = output;
        this.windowStartNanos = clock.nowNanos();
        this.writer = new Thread(this::drain, "event-log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public synchronized void write(Event event) {
        renewWindow();
        int count = written.merge(event.severity(), 1, Integer::sum);
        if (count > budget(event.severity()) || !lines.offer(new Line(wallMillis.getAsLong(), event))) {
            dropped++;
        }
    }

    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void renewWindow() {
        long now = clock.nowNanos();
        if (now - windowStartNanos < WINDOW_NANOS) {
            return;
        }
        windowStartNanos = now;
        written.clear();
        if (dropped > 0
                && lines.offer(new Line(
                        wallMillis.getAsLong(),
                        Event.notice("log", "Lines dropped.").with("lines", dropped)))) {
            dropped = 0;
        }
    }

    private static int budget(Event.Severity severity) {
        return switch (severity) {
            case ROUTINE -> ROUTINE_PER_SECOND;
            case NOTICE -> NOTICES_PER_SECOND;
            case FAILURE -> FAILURES_PER_SECOND;
        };
    }

    private String format(Line line) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = factory.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("t", line.atMillis());
            json.writeStringField("node", node);
            json.writeStringField("part", line.event().part());
            json.writeStringField("event", line.event().message());
            for (Event.Field field : line.event().fields()) {
                writeField(json, field);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("A string writer does not fail", e);
        }
        return text.append('\n').toString();
    }

    private static void writeField(JsonGenerator json, Event.Field field) throws IOException {
        if (field.value() instanceof Integer number) {
            json.writeNumberField(field.name(), number);
        } else if (field.value() instanceof Long number) {
            json.writeNumberField(field.name(), number);
        } else if (field.value() instanceof Boolean truth) {
            json.writeBooleanField(field.name(), truth);
        } else {
            json.writeStringField(field.name(), String.valueOf(field.value()));
        }
    }

    private void drain() {
        while (!closed) {
            StringBuilder batch = new StringBuilder();
            try {
                batch.append(format(lines.take()));
                TimeUnit.MILLISECONDS.sleep(GATHER_MILLIS);
            } catch (InterruptedException e) {
                closed = true;
            }
            writeBatch(batch);
        }
        writeBatch(new StringBuilder());
    }

    private void writeBatch(StringBuilder batch) {
        for (Line line = lines.poll(); line != null; line = lines.poll()) {
            batch.append(format(line));
        }
        try {
            output.write(batch.toString().getBytes(StandardCharsets.UTF_8));
            output.flush();
        } catch (IOException e) {
            // Standard output is the only place to report to, and it is gone.
            closed = true;
        }
    }

    /** An event and its time of day. It gets its form on the writer's thread, away from the path of requests. */
    private record Line(long atMillis, Event event) {}
}

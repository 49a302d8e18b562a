package org.turmericspan.publication;

import java.time.Duration;
import java.util.Optional;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.membership.ViewReceiver;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.messages.PeerMessage;

/**
 * Passes the lists of VMs that the platform publishes to the receiver. The accepted list is confirmed only while the
 * platform has the same one: it may have a list that was refused, or another list of the same revision.
 */
public final class ViewSink implements PlatformSink {
    private final ViewReceiver receiver;
    private final ViewTable table;
    private final MonotonicClock clock;
    private volatile Optional<PlatformValue> lastValue = Optional.empty();

    /**
     * Creates a sink.
     *
     * @param receiver receives each list
     * @param table table of the accepted list
     * @param clock measures the age of the lists
     */
    public ViewSink(ViewReceiver receiver, ViewTable table, MonotonicClock clock) {
        this.receiver = receiver;
        this.table = table;
        this.clock = clock;
    }

    @Override
    public void value(PlatformValue value, long requestedNanos) {
        lastValue = Optional.of(value);
        Duration age = Duration.ofNanos(clock.nowNanos() - requestedNanos);
        receiver.offer(value.revision(), value.text(), age);
    }

    @Override
    public void confirmed(long revision, long confirmedNanos) {
        if (lastValue.filter(this::isAccepted).isPresent()) {
            table.confirm(confirmedNanos);
        }
    }

    private boolean isAccepted(PlatformValue value) {
        PeerMessage.ViewDocument accepted = receiver.document();
        return accepted.revision() == value.revision()
                && accepted.text().filter(value.text()::equals).isPresent();
    }
}

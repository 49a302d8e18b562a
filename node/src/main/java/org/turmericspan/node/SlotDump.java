package org.turmericspan.node;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.turmericspan.routing.SlotCoordinator;
import org.turmericspan.routing.SlotCounts;
import org.turmericspan.routing.SlotTable;
import org.turmericspan.routing.UpstreamState;

/**
 * Section of the state dump on the slots of this node. Its component names are the field names of the dump.
 *
 * @param policy {@code keepers}, by which the owner of an upstream grants its slots, or {@code baseline}, by which each
 *     node takes the less loaded of two upstreams
 * @param own leases that this node holds on upstreams it owns
 * @param lent leases that other nodes hold on them
 * @param borrowed leases that this node holds on upstreams that other nodes own
 * @param waiting slot requests queued at this node
 * @param coldTransitions number of times that an upstream became cold
 * @param isSuspended whether no slot is granted until the view is confirmed after a process pause
 */
record SlotDump(
        String policy,
        int own,
        int lent,
        int borrowed,
        int waiting,
        @JsonProperty("cold_transitions") long coldTransitions,
        @JsonProperty("suspended") boolean isSuspended) {
    static SlotDump of(String policy, SlotTable table, SlotCoordinator coordinator) {
        SlotCounts counts = table.counts();
        return new SlotDump(
                policy,
                counts.own(),
                counts.lent(),
                coordinator.borrowedCount(),
                counts.waiting(),
                counts.coldTransitions(),
                counts.isSuspended());
    }

    static List<UpstreamDump> upstreams(SlotTable table) {
        return table.upstreamStates().stream().map(UpstreamDump::of).toList();
    }

    /**
     * State of one upstream that this node owns.
     *
     * @param upstream name of the upstream
     * @param service name of its service
     * @param state warm-up phase, in lower case
     * @param limit current concurrency limit
     * @param running number of requests in progress
     * @param oldestMillis age of the oldest request in progress
     * @param latencyMicros smoothed service time
     * @param coldReason why it last became cold, in lower case, or empty
     */
    record UpstreamDump(
            String upstream,
            String service,
            String state,
            int limit,
            int running,
            @JsonProperty("oldest_ms") long oldestMillis,
            @JsonProperty("latency_us") long latencyMicros,
            @JsonProperty("cold_reason") String coldReason) {
        private static UpstreamDump of(UpstreamState state) {
            return new UpstreamDump(
                    state.upstream().value(),
                    state.service().value(),
                    lower(state.phase()),
                    state.limit(),
                    state.running(),
                    state.oldest().toMillis(),
                    TimeUnit.NANOSECONDS.toMicros(state.latency().toNanos()),
                    state.coldReason().map(UpstreamDump::lower).orElse(""));
        }

        private static String lower(Enum<?> value) {
            return value.name().toLowerCase(Locale.ROOT);
        }
    }
}

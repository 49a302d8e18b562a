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
 * Slots of this node in the state dump.
 *
 * @param policy keepers or baseline
 * @param own leases that this node holds on upstreams it keeps
 * @param lent leases that other nodes hold on them
 * @param borrowed leases that this node holds on upstreams that others keep
 * @param waiting wishes that wait here
 * @param coldTransitions times an upstream was set cold
 * @param isSuspended whether nothing is granted until the view is confirmed after a late wake-up
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

    static List<UpstreamEntry> upstreams(SlotTable table) {
        return table.upstreamStates().stream().map(UpstreamEntry::of).toList();
    }

    /**
     * One upstream that this node keeps.
     *
     * @param upstream its name
     * @param service its service
     * @param state how warm it is, in lower case
     * @param limit requests it may hold now
     * @param running requests it holds
     * @param oldestMillis how long the oldest of them has run
     * @param latencyMicros smoothed service time
     * @param coldReason why it was last set cold, or empty
     */
    record UpstreamEntry(
            String upstream,
            String service,
            String state,
            int limit,
            int running,
            @JsonProperty("oldest_ms") long oldestMillis,
            @JsonProperty("latency_us") long latencyMicros,
            @JsonProperty("cold_reason") String coldReason) {
        private static UpstreamEntry of(UpstreamState state) {
            return new UpstreamEntry(
                    state.upstream().value(),
                    state.service().value(),
                    lower(state.phase()),
                    state.limit(),
                    state.running(),
                    state.oldest().toMillis(),
                    TimeUnit.NANOSECONDS.toMicros(state.latency().toNanos()),
                    state.coldReason().map(UpstreamEntry::lower).orElse(""));
        }

        private static String lower(Enum<?> value) {
            return value.name().toLowerCase(Locale.ROOT);
        }
    }
}

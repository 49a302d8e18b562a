package org.turmericspan.probing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.Service;
import org.turmericspan.config.Upstream;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.UpstreamId;

/**
 * Divides the configured probes per second of each service evenly over its upstreams. Part of them stays unallocated:
 * when the list of VMs changes, the old owner of an upstream may still probe it in addition to the new one.
 */
public final class ProbeAllocation {
    /** Percentage of the configured probes that is divided over the upstreams. */
    private static final int ALLOCATED_PERCENT = 80;

    private static final int WHOLE_PERCENT = 100;
    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private ProbeAllocation() {}

    /**
     * Computes the probe targets of a node.
     *
     * @param configuration active configuration
     * @param owned upstreams that the node owns
     * @return one target for each owned upstream of a service with a configured probe rate above 0
     */
    public static List<ProbeTarget> allocate(Configuration configuration, Collection<UpstreamId> owned) {
        Map<ServiceId, Integer> upstreamCounts = new HashMap<>();
        configuration
                .upstreams()
                .values()
                .forEach(upstream -> upstreamCounts.merge(upstream.service(), 1, Integer::sum));
        List<ProbeTarget> targets = new ArrayList<>();
        for (UpstreamId id : owned) {
            Upstream upstream = configuration.upstreams().get(id);
            Service service = upstream == null ? null : configuration.services().get(upstream.service());
            if (service != null && service.probesPerSecond() > 0) {
                Duration period = period(service.probesPerSecond(), upstreamCounts.get(service.id()));
                targets.add(new ProbeTarget(id, service.id(), upstream.address(), period));
            }
        }
        return targets;
    }

    private static Duration period(int probesPerSecond, int upstreams) {
        return Duration.ofNanos(
                NANOS_PER_SECOND * upstreams * WHOLE_PERCENT / ((long) probesPerSecond * ALLOCATED_PERCENT));
    }
}

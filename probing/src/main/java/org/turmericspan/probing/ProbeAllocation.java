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
 * Divides the probe budget of each service evenly over its upstreams. A part of the budget is left for view changes,
 * while the old keeper of an upstream may still probe it beside the new one.
 */
public final class ProbeAllocation {
    private static final int USED_PERCENT = 80;
    private static final int WHOLE_PERCENT = 100;
    private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private ProbeAllocation() {}

    /**
     * Computes what a node probes.
     *
     * @param configuration configuration in force
     * @param kept upstreams that the node keeps
     * @return one target for each kept upstream whose service has a budget
     */
    public static List<ProbeTarget> allocate(Configuration configuration, Collection<UpstreamId> kept) {
        Map<ServiceId, Integer> counts = new HashMap<>();
        configuration.upstreams().values().forEach(upstream -> counts.merge(upstream.service(), 1, Integer::sum));
        List<ProbeTarget> targets = new ArrayList<>();
        for (UpstreamId id : kept) {
            Upstream upstream = configuration.upstreams().get(id);
            Service service = upstream == null ? null : configuration.services().get(upstream.service());
            if (service != null && service.probesPerSecond() > 0) {
                Duration period = period(service.probesPerSecond(), counts.get(service.id()));
                targets.add(new ProbeTarget(id, service.id(), upstream.address(), period));
            }
        }
        return targets;
    }

    private static Duration period(int probesPerSecond, int upstreams) {
        return Duration.ofNanos(NANOS_PER_SECOND * upstreams * WHOLE_PERCENT / ((long) probesPerSecond * USED_PERCENT));
    }
}

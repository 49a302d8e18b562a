package org.turmericspan.balancing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.ServiceId;

/**
 * Upstreams by service, those of the local zone apart, so that a choice touches only the upstreams that it may select.
 * Guarded by the lock of the upstream table.
 */
final class UpstreamIndex {
    private static final ServiceUpstreams NONE = new ServiceUpstreams();

    private final Map<ServiceId, ServiceUpstreams> byService = new HashMap<>();
    private final AvailabilityZoneId localZone;

    UpstreamIndex(AvailabilityZoneId localZone) {
        this.localZone = localZone;
    }

    /** Adds an upstream under its current registration. */
    void add(TrackedUpstream upstream) {
        byService
                .computeIfAbsent(upstream.registration().service(), service -> new ServiceUpstreams())
                .listOf(isLocal(upstream))
                .add(upstream);
    }

    /** Removes an upstream; its registration must be the one under which it was added. */
    void remove(TrackedUpstream upstream) {
        ServiceId service = upstream.registration().service();
        ServiceUpstreams upstreams = byService.get(service);
        upstreams.listOf(isLocal(upstream)).remove(upstream);
        if (upstreams.local.isEmpty() && upstreams.remote.isEmpty()) {
            byService.remove(service);
        }
    }

    private boolean isLocal(TrackedUpstream upstream) {
        return upstream.registration().availabilityZone().equals(localZone);
    }

    void forEach(BiConsumer<ServiceId, ServiceUpstreams> action) {
        byService.forEach(action);
    }

    ServiceUpstreams of(ServiceId service) {
        return byService.getOrDefault(service, NONE);
    }

    /** Upstreams of one service. */
    static final class ServiceUpstreams {
        private final List<TrackedUpstream> local = new ArrayList<>();
        private final List<TrackedUpstream> remote = new ArrayList<>();
        private double utilization;
        private long utilizationNanos = Long.MIN_VALUE;

        private List<TrackedUpstream> listOf(boolean isLocal) {
            return isLocal ? local : remote;
        }

        boolean isEmpty() {
            return local.isEmpty() && remote.isEmpty();
        }

        List<TrackedUpstream> local() {
            return local;
        }

        List<TrackedUpstream> remote() {
            return remote;
        }

        List<TrackedUpstream> remote(AvailabilityZoneId zone) {
            List<TrackedUpstream> ofZone = new ArrayList<>();
            for (TrackedUpstream upstream : remote) {
                if (upstream.registration().availabilityZone().equals(zone)) {
                    ofZone.add(upstream);
                }
            }
            return ofZone;
        }

        /** Returns whether the utilization was set within a time before now. */
        boolean hasUtilization(long maxAgeNanos, long nowNanos) {
            return utilizationNanos != Long.MIN_VALUE && nowNanos - utilizationNanos <= maxAgeNanos;
        }

        double utilization() {
            return utilization;
        }

        void setUtilization(double value, long nowNanos) {
            utilization = value;
            utilizationNanos = nowNanos;
        }
    }
}

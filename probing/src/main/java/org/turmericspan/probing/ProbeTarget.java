package org.turmericspan.probing;

import java.time.Duration;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/**
 * An upstream that this node probes.
 *
 * @param upstream its name
 * @param service its service
 * @param address where it listens
 * @param period least time between two probes
 */
public record ProbeTarget(UpstreamId upstream, ServiceId service, SocketAddress address, Duration period) {}

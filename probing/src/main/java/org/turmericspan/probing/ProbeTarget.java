package org.turmericspan.probing;

import java.time.Duration;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/**
 * An upstream that this node probes.
 *
 * @param upstream identifier of the upstream
 * @param service service of the upstream
 * @param address address at which it listens
 * @param period shortest time between the starts of two probes
 */
public record ProbeTarget(UpstreamId upstream, ServiceId service, SocketAddress address, Duration period) {}

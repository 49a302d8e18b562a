package org.turmericspan.probing;

import java.util.Optional;
import org.turmericspan.calls.ProbeReport;
import org.turmericspan.ids.UpstreamId;

/**
 * Result of one probe.
 *
 * @param upstream upstream that was probed
 * @param report report of the upstream; empty when there was none
 */
public record ProbeResult(UpstreamId upstream, Optional<ProbeReport> report) {}

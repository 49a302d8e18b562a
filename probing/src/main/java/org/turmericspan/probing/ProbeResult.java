package org.turmericspan.probing;

import java.util.Optional;
import org.turmericspan.calls.ProbeReport;
import org.turmericspan.ids.UpstreamId;

/**
 * What became of one probe.
 *
 * @param upstream upstream that was probed
 * @param report its answer, or empty when it gave none
 */
public record ProbeResult(UpstreamId upstream, Optional<ProbeReport> report) {}

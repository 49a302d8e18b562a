package org.turmericspan.forwarding;

import java.util.ArrayList;
import java.util.List;
import org.turmericspan.balancing.Registration;
import org.turmericspan.ids.UpstreamId;

/** Records the probes, so that a test decides when each one completes. */
final class FakeLoadProber implements LoadProber {
    private final List<PendingProbe> pendingProbes = new ArrayList<>();
    private boolean isHolding;

    @Override
    public void probe(Registration upstream, Runnable onCompleted) {
        if (isHolding) {
            pendingProbes.add(new PendingProbe(upstream.id(), onCompleted));
        } else {
            onCompleted.run();
        }
    }

    /** Leaves all further probes in flight until the test completes them. */
    void hold() {
        isHolding = true;
    }

    List<UpstreamId> probed() {
        return pendingProbes.stream().map(PendingProbe::upstream).toList();
    }

    void complete(UpstreamId upstream) {
        PendingProbe pendingProbe = pendingProbes.stream()
                .filter(each -> each.upstream().equals(upstream))
                .findFirst()
                .orElseThrow();
        pendingProbes.remove(pendingProbe);
        pendingProbe.onCompleted().run();
    }

    private record PendingProbe(UpstreamId upstream, Runnable onCompleted) {}
}

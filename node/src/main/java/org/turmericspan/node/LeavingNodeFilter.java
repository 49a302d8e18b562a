package org.turmericspan.node;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.turmericspan.calls.LocateResult;
import org.turmericspan.calls.Locator;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.VmId;

/** Removes leaving nodes from locate responses, before the platform's list of VMs marks them as leaving. */
final class LeavingNodeFilter implements Locator {
    private final Locator next;
    private final Predicate<VmId> isLeaving;

    LeavingNodeFilter(Locator next, Predicate<VmId> isLeaving) {
        this.next = next;
        this.isLeaving = isLeaving;
    }

    @Override
    public Optional<LocateResult> locate(ServiceId service) {
        return next.locate(service).map(this::withoutLeaving);
    }

    private LocateResult withoutLeaving(LocateResult locateResult) {
        List<LocateResult.Endpoint> remaining = locateResult.addresses().stream()
                .filter(endpoint -> !isLeaving.test(endpoint.vm()))
                .toList();
        return new LocateResult(remaining, locateResult.timeToLive());
    }
}

package org.turmericspan.node;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.turmericspan.calls.LocateResult;
import org.turmericspan.calls.Locator;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.VmId;

/** Leaves out of locate answers the nodes that are about to stop, before the platform's list does. */
final class StoppingLocator implements Locator {
    private final Locator next;
    private final Predicate<VmId> isLeaving;

    StoppingLocator(Locator next, Predicate<VmId> isLeaving) {
        this.next = next;
        this.isLeaving = isLeaving;
    }

    @Override
    public Optional<LocateResult> locate(ServiceId service) {
        return next.locate(service).map(this::withoutLeaving);
    }

    private LocateResult withoutLeaving(LocateResult locateResult) {
        List<LocateResult.Endpoint> staying = locateResult.addresses().stream()
                .filter(endpoint -> !isLeaving.test(endpoint.vm()))
                .toList();
        return new LocateResult(staying, locateResult.timeToLive());
    }
}

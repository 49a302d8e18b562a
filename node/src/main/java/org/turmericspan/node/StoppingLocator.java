package org.turmericspan.node;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.turmericspan.calls.Located;
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
    public Optional<Located> locate(ServiceId service) {
        return next.locate(service).map(this::withoutLeaving);
    }

    private Located withoutLeaving(Located located) {
        List<Located.Address> staying = located.addresses().stream()
                .filter(address -> !isLeaving.test(address.vm()))
                .toList();
        return new Located(staying, located.timeToLive());
    }
}

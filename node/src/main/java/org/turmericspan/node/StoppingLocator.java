package org.turmericspan.node;

import java.util.List;
import java.util.Optional;
import org.turmericspan.calls.Located;
import org.turmericspan.calls.Locator;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.ids.VmId;
import org.turmericspan.membership.StopState;

/** Leaves this node out of its own locate answers from the moment it begins to stop. */
final class StoppingLocator implements Locator {
    private final Locator next;
    private final VmId self;
    private final StopState stopState;

    StoppingLocator(Locator next, VmId self, StopState stopState) {
        this.next = next;
        this.self = self;
        this.stopState = stopState;
    }

    @Override
    public Optional<Located> locate(ServiceId service) {
        Optional<Located> located = next.locate(service);
        return stopState.isLeaving() ? located.map(this::withoutSelf) : located;
    }

    private Located withoutSelf(Located located) {
        List<Located.Address> others = located.addresses().stream()
                .filter(address -> !address.vm().equals(self))
                .toList();
        return new Located(others, located.timeToLive());
    }
}

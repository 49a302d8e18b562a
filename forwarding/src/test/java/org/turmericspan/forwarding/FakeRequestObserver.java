package org.turmericspan.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.turmericspan.ids.RouteId;
import org.turmericspan.ids.ServiceId;
import org.turmericspan.zones.RequestKind;
import org.turmericspan.zones.RequestObserver;

/** Keeps what it is told of requests. */
final class FakeRequestObserver implements RequestObserver {
    private final List<RequestKind> begun = new ArrayList<>();
    private final List<Long> answerBytes = new ArrayList<>();

    @Override
    public void begun(ServiceId service, Supplier<RequestKind> kind) {
        begun.add(kind.get());
    }

    @Override
    public void answered(ServiceId service, RouteId route, long bodyBytes) {
        answerBytes.add(bodyBytes);
    }

    List<RequestKind> begun() {
        return begun;
    }

    List<Long> answerBytes() {
        return answerBytes;
    }
}

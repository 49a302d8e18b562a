package org.turmericspan.routing;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;
import org.turmericspan.calls.SlotDecision;
import org.turmericspan.calls.SlotLease;
import org.turmericspan.calls.SlotReturn;
import org.turmericspan.calls.SlotSource;
import org.turmericspan.calls.SlotWish;
import org.turmericspan.errors.ResultCode;
import org.turmericspan.ids.LeaseId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.UpstreamId;

/** Grants the slots this node keeps itself. */
public final class LocalSlotSource implements SlotSource {
    private final SlotTable table;

    /**
     * Creates a source.
     *
     * @param table slots of the kept upstreams
     */
    public LocalSlotSource(SlotTable table) {
        this.table = table;
    }

    @Override
    public CompletionStage<SlotDecision> acquire(SlotWish wish) {
        return CompletableFuture.completedFuture(table.grant(wish)
                .<SlotDecision>map(granted -> new SlotDecision.Granted(new LocalLease(granted)))
                .orElseGet(() -> new SlotDecision.Denied(ResultCode.NO_CAPACITY, Optional.empty())));
    }

    private final class LocalLease implements SlotLease {
        private final GrantedSlot slot;
        private final AtomicBoolean released = new AtomicBoolean();

        LocalLease(GrantedSlot slot) {
            this.slot = slot;
        }

        @Override
        public LeaseId id() {
            return slot.lease();
        }

        @Override
        public UpstreamId upstream() {
            return slot.upstream();
        }

        @Override
        public SocketAddress address() {
            return slot.address();
        }

        @Override
        public boolean isValid() {
            return !released.get();
        }

        @Override
        public void release(SlotReturn slotReturn) {
            if (released.compareAndSet(false, true)) {
                table.release(slot.lease(), slot.upstream(), slotReturn);
            }
        }
    }
}

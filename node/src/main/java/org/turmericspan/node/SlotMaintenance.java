package org.turmericspan.node;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledFuture;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.turmericspan.membership.ConfigurationTable;
import org.turmericspan.membership.Peers;
import org.turmericspan.membership.ViewTable;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.peer.PeerHandlers;
import org.turmericspan.routing.SlotCoordinator;
import org.turmericspan.routing.SlotPeerHandler;
import org.turmericspan.tables.WorkerPool;

/** Drives the slots: with periodic ticks, changes of the configuration and the view, and messages of other nodes. */
@Singleton
final class SlotMaintenance implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);
    private static final Duration INCARNATION_CHECK_INTERVAL = Duration.ofMillis(500);
    private static final List<Class<? extends PeerMessage>> HANDLED_MESSAGES = List.of(
            PeerMessage.BorrowSlot.class,
            PeerMessage.CancelSlotRequest.class,
            PeerMessage.ReturnSlot.class,
            PeerMessage.RecallSlot.class,
            PeerMessage.Handover.class,
            PeerMessage.QueryLeases.class);

    private final ConfigurationTable configurations;
    private final ViewTable views;
    private final SlotCoordinator slots;
    private final SlotPeerHandler handler;
    private final PeerHandlers handlers;
    private final Peers peers;
    private final WorkerPool workerPool;
    private ScheduledFuture<?> ticks;
    private ScheduledFuture<?> incarnationChecks;

    @Inject
    SlotMaintenance(
            ConfigurationTable configurations,
            ViewTable views,
            SlotCoordinator slots,
            SlotPeerHandler handler,
            PeerHandlers handlers,
            Peers peers,
            WorkerPool workerPool) {
        this.configurations = configurations;
        this.views = views;
        this.slots = slots;
        this.handler = handler;
        this.handlers = handlers;
        this.peers = peers;
        this.workerPool = workerPool;
    }

    void start() {
        HANDLED_MESSAGES.forEach(type -> handlers.register(type, handler));
        configurations.addListener(configuration -> slots.onOwnershipChanged());
        views.addListener(view -> slots.onOwnershipChanged());
        ticks = workerPool.scheduleWithFixedDelay(TICK_INTERVAL, this::tick);
        incarnationChecks = workerPool.scheduleWithFixedDelay(INCARNATION_CHECK_INTERVAL, this::reportPeerIncarnations);
    }

    @Override
    public void close() {
        if (ticks != null) {
            ticks.cancel(false);
            incarnationChecks.cancel(false);
        }
    }

    private void reportPeerIncarnations() {
        peers.all().forEach(peer -> slots.onPeerIncarnation(peer.vm(), peer.incarnation()));
    }

    private void tick() {
        try {
            slots.tick();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("slots: a tick failed; the next tick follows");
        }
    }
}

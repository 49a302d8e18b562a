package org.turmericspan.feed;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.balancing.FleetListener;
import org.turmericspan.balancing.Registration;
import org.turmericspan.events.Event;
import org.turmericspan.events.EventLog;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.StorePosition;
import org.turmericspan.ids.UpstreamId;

/**
 * This node's replica of the store. Applies the items that were read and tells the listener of the fleet what they
 * change. Used by the worker of the feed; its revisions are read by any thread.
 */
final class StoreReplica {
    private static final String PART = "store";

    private final StoreItemDecoder decoder;
    private final FleetListener fleetListener;
    private final StoreContact contact;
    private final ScheduledExecutorService worker;
    private final MonotonicClock clock;
    private final EventLog log;
    private final MalformedItems malformedItems;
    private final StoreMirror mirror = new StoreMirror();
    private final RestorationHold hold;
    private final FirstListDoubt doubt;
    /** Evacuated zones with the keys of their items. */
    private final Map<AvailabilityZoneId, String> evacuatedZones = new HashMap<>();
    /** Removals at the end of a grace period, with the time of its end. */
    private final Map<UpstreamId, Long> pendingRemovalNanos = new HashMap<>();
    /** Registrations that the store has. */
    private final Map<UpstreamId, Registration> registrations = new HashMap<>();
    /** Upstreams and zones of the list that is being applied. */
    private final Set<UpstreamId> listedUpstreams = new HashSet<>();

    private final Set<AvailabilityZoneId> listedZones = new HashSet<>();

    private StoreSource lastSource;
    /** Whether the item that is being applied comes with a restoration of the store. */
    private boolean isRestored;

    private volatile StorePosition position = StorePosition.START;
    private volatile StorePosition changePosition = StorePosition.START;
    private volatile StorePosition listPosition = StorePosition.START;
    private volatile long configurationVersion;
    private volatile boolean hasBegunEra;
    private volatile long eraBegunNanos;
    private String configurationKey = "";
    private volatile boolean complete;

    StoreReplica(
            StoreItemDecoder decoder,
            FleetListener fleetListener,
            StoreContact contact,
            ScheduledExecutorService worker,
            MonotonicClock clock,
            EventLog log) {
        this.decoder = decoder;
        this.fleetListener = fleetListener;
        this.contact = contact;
        this.worker = worker;
        this.clock = clock;
        this.log = log;
        this.malformedItems = new MalformedItems(log);
        this.hold = new RestorationHold(worker);
        this.doubt = new FirstListDoubt(clock);
    }

    StoreMirror mirror() {
        return mirror;
    }

    /** Returns whether all items were listed at least once. */
    boolean isComplete() {
        return complete;
    }

    /** Returns the position of the store up to which this replica has every change. */
    StorePosition position() {
        return position;
    }

    /**
     * Returns the position of the newest change, other than repeated registrations. Registrations of the first list do
     * not count, since their positions are those of the last repetition.
     */
    StorePosition changePosition() {
        return changePosition;
    }

    /** Returns the highest position of the first list, the start before it. */
    StorePosition listPosition() {
        return listPosition;
    }

    /** Returns the doubt about the list with which this replica began. */
    FirstListDoubt doubt() {
        return doubt;
    }

    /** Returns the version of the newest configuration, 0 before the first one. */
    long configurationVersion() {
        return configurationVersion;
    }

    /** Returns the time since this replica has gone on to its era, an hour if it began with it. */
    long eraAgeMillis() {
        return hasBegunEra
                ? Math.min(
                        ReplicaState.UNKNOWN_AGE_MILLIS,
                        TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - eraBegunNanos))
                : ReplicaState.UNKNOWN_AGE_MILLIS;
    }

    /** Returns whether a list may be taken: it is not older than this replica, or shows the store's history instead. */
    boolean canTake(ListRead list) {
        return !complete
                || !position.isAfter(list.lowestPosition())
                || doubt.isDisproof(list, position)
                || doubt.isProof(list, position);
    }

    /** Applies the changes of a page that this replica does not have yet, and advances to the position of the page. */
    void apply(StoreSource source, StorePage page) {
        lastSource = source;
        doubt.recordSource(page.position(), position);
        StorePosition applied = position;
        boolean isLaterEra = beginEra(source, page.position());
        for (StoreItem item : page.items()) {
            // A later page of a list may hold an item that is newer than the position of the list.
            if (item.position().isAfter(applied.max(mirror.positionOf(item.key())))) {
                isRestored = isLaterEra && item.position().isInLaterEra(applied);
                apply(item, false);
            }
        }
        if (isLaterEra) {
            isRestored = true;
            pendingRemovals().forEach(this::removeAfterGracePeriod);
            changePosition = changePosition.max(page.position());
        }
        isRestored = false;
        advance(page.position());
    }

    /** Replaces all items by those of a list; of a later one only the differences count as changes. */
    void replace(ListRead list) {
        lastSource = list.source();
        boolean isNewBeginning = complete && position.isAfter(list.lowestPosition());
        if (isNewBeginning) {
            restart();
        }
        boolean isLaterEra = beginEra(list.source(), list.lowestPosition());
        isRestored = isLaterEra || isNewBeginning || doubt.isProof(list, position);
        doubt.recordList(!complete && list.isStale());
        mirror.beginReplacement(list.lowestPosition());
        listedZones.clear();
        listedUpstreams.clear();
        list.items().forEach(item -> apply(item, true));
        mirror.retainMissing(configurationKey);
        if (mirror.completeReplacement(list.lowestPosition()) || isLaterEra) {
            changePosition = changePosition.max(list.lowestPosition());
        }
        removeMissingZones(list);
        removeMissingUpstreams();
        isRestored = false;
        if (!complete) {
            listPosition = list.highestPosition();
            complete = true;
        }
        advance(list.lowestPosition());
    }

    /** Begins anew with the next list, whose position is lower; what is in force stays so until then. */
    private void restart() {
        log.write(Event.notice(PART, "Stale list was no part of the store's history.")
                .with("era", position.era())
                .with("revision", position.revision()));
        mirror.restart(configurationKey);
        position = StorePosition.START;
        changePosition = StorePosition.START;
        listPosition = StorePosition.START;
        complete = false;
    }

    /** Notes a restoration of the store; returns whether there was one since the last read. */
    private boolean beginEra(StoreSource source, StorePosition newPosition) {
        if (!complete || !newPosition.isInLaterEra(position)) {
            return false;
        }
        doubt.recordRestoration();
        hasBegunEra = true;
        eraBegunNanos = clock.nowNanos();
        hold.recordRestoration(eraBegunNanos);
        log.write(Event.notice(PART, "Store restored from an older copy.")
                .with("source", source)
                .with("era", newPosition.era())
                .with("revision", newPosition.revision())
                .with("previousEra", position.era())
                .with("previousRevision", position.revision()));
        return true;
    }

    private void removeMissingZones(ListRead list) {
        Map<AvailabilityZoneId, String> missing = new HashMap<>(evacuatedZones);
        missing.keySet().removeAll(listedZones);
        missing.forEach((zone, key) -> {
            if (isRestored) {
                hold.hold(key, () -> setEvacuated(zone, key, false));
            } else if (!hold.isHeld(key)) {
                setEvacuated(zone, key, false);
            }
        });
        Set<String> heldKeys = new HashSet<>(missing.values());
        list.items().forEach(item -> heldKeys.add(item.key()));
        hold.retainAll(heldKeys);
    }

    private void removeMissingUpstreams() {
        Set<UpstreamId> missing = new HashSet<>(registrations.keySet());
        missing.removeAll(listedUpstreams);
        registrations.keySet().removeAll(missing);
        if (isRestored) {
            missing.addAll(pendingRemovals());
        }
        missing.forEach(this::removeAfterGracePeriod);
    }

    /** Returns the upstreams in their grace period; they could not register while the store was away once more. */
    private Set<UpstreamId> pendingRemovals() {
        return Set.copyOf(pendingRemovalNanos.keySet());
    }

    private void advance(StorePosition newPosition) {
        position = position.max(newPosition);
        mirror.advance(position);
    }

    private void apply(StoreItem item, boolean isListed) {
        try {
            apply(item, decoder.decode(item, clock.nowNanos()), isListed);
        } catch (IOException | RuntimeException e) {
            // One item must not end the feed, whatever is wrong with it.
            malformedItems.record(item, e);
        }
    }

    private void apply(StoreItem item, StoreUpdate update, boolean isListed) {
        if (update instanceof StoreUpdate.Configuration published) {
            configure(item, published);
        } else if (update instanceof StoreUpdate.Evacuation evacuation) {
            evacuate(item, evacuation, isListed);
        } else if (update instanceof StoreUpdate.Registered registered) {
            register(item, registered.registration(), isListed);
        } else if (update instanceof StoreUpdate.Unregistered unregistered) {
            unregister(item, unregistered.upstream());
        }
    }

    private void unregister(StoreItem item, UpstreamId id) {
        // Each node that has listed the restored store tells what is missing at the position of its own list.
        if (recordChange(item) || isRestored) {
            registrations.remove(id);
            hold.end(item.key());
            removeAfterGracePeriod(id);
        }
    }

    private boolean recordChange(StoreItem item) {
        boolean hasChanged = !mirror.hasValueOf(item);
        StorePosition itemPosition = mirror.put(item, hasChanged);
        if (hasChanged) {
            changePosition = changePosition.max(itemPosition);
        }
        return hasChanged;
    }

    /** Takes a configuration over, unless it is older than the one that this replica has. */
    private void configure(StoreItem item, StoreUpdate.Configuration published) {
        long version = published.configuration().version();
        if (version < configurationVersion) {
            mirror.retain(item);
            log.write(Event.notice(PART, "Older configuration ignored.")
                    .with("version", version)
                    .with("newestVersion", configurationVersion)
                    .with("source", lastSource));
            return;
        }
        configurationVersion = version;
        configurationKey = item.key();
        recordChange(item);
        logConfiguration(published);
        fleetListener.onConfiguration(published.configuration());
    }

    private void logConfiguration(StoreUpdate.Configuration published) {
        RelayStatus status = contact.status();
        log.write(Event.notice(PART, "Configuration read.")
                .with("version", published.configuration().version())
                .with("source", lastSource)
                .with("distance", status.distance())
                .with("contactAgeMs", status.contactAgeMillis())
                .with("contactForMs", contact.contactForMillis())
                .with("confirmedAgeMs", contact.confirmedAgeMillis()));
    }

    private void evacuate(StoreItem item, StoreUpdate.Evacuation evacuation, boolean isListed) {
        AvailabilityZoneId zone = evacuation.zone();
        if (isListed) {
            listedZones.add(zone);
            if (!isRestored && hold.isHeld(item.key()) && mirror.hasValueOf(item)) {
                mirror.retain(item);
                return;
            }
        }
        boolean isTakenBack = isRestored
                && (evacuation.isEvacuated()
                        ? mirror.isRemoved(item.key()) && isOlderThanKnown(item)
                        : evacuatedZones.containsKey(zone));
        if (!recordChange(item) && item.isRemoved() && !isRestored) {
            return;
        }
        if (isTakenBack && evacuation.isEvacuated() != evacuatedZones.containsKey(zone)) {
            hold.hold(item.key(), () -> setEvacuated(zone, item.key(), evacuation.isEvacuated()));
        } else {
            hold.end(item.key());
            setEvacuated(zone, item.key(), evacuation.isEvacuated());
        }
    }

    private void setEvacuated(AvailabilityZoneId zone, String key, boolean isEvacuated) {
        boolean hasChanged = isEvacuated ? evacuatedZones.put(zone, key) == null : evacuatedZones.remove(zone) != null;
        if (hasChanged) {
            fleetListener.onEvacuation(Set.copyOf(evacuatedZones.keySet()));
        }
    }

    /**
     * Returns whether an item of the restored store is older than what was known. One whose revision is not below was
     * written after the restoration: an older copy up to that revision would have the known change, too.
     */
    private boolean isOlderThanKnown(StoreItem item) {
        StorePosition known = mirror.positionOf(item.key());
        return known.equals(StorePosition.START) || item.position().revision() < known.revision();
    }

    /** A copy from before the restoration before this one lacks what was written since, whatever the revision. */
    private boolean isOlderRegistration(StoreItem item) {
        return isOlderThanKnown(item) || hold.isRestoredTwice();
    }

    private void register(StoreItem item, Registration registration, boolean isListed) {
        boolean isTakenBack =
                isRestored && hold.isTakenBack(registration) && (hold.isHeld(item.key()) || isOlderRegistration(item));
        Registration previous = registrations.put(registration.id(), registration);
        boolean hasChanged = previous == null || !registration.equalsIgnoringWarmUp(previous);
        if (isListed) {
            listedUpstreams.add(registration.id());
        }
        StorePosition itemPosition = mirror.put(item, hasChanged);
        if (hasChanged && complete) {
            changePosition = changePosition.max(itemPosition);
        }
        pendingRemovalNanos.remove(registration.id());
        if (isTakenBack) {
            hold.hold(item.key(), () -> putInForce(registration));
            return;
        }
        if (isListed && !isRestored && !hasChanged && hold.isHeld(item.key())) {
            return;
        }
        hold.end(item.key());
        // A copy of the registration that is in force tells a warm-up that has gone on since.
        if (!isRestored || !hold.isInForce(registration)) {
            putInForce(registration);
        }
    }

    private void putInForce(Registration registration) {
        hold.recordRegistration(registration);
        fleetListener.onRegistration(registration);
    }

    private void remove(UpstreamId id) {
        hold.recordRemoval(id);
        fleetListener.onRemoval(id);
    }

    /**
     * Removes an upstream, after an outage or a restoration only when the grace period ends without a new registration.
     */
    private void removeAfterGracePeriod(UpstreamId id) {
        long graceNanos = Math.max(contact.remainingGraceNanos(), isRestored ? contact.restorationGraceNanos() : 0);
        if (graceNanos <= 0) {
            remove(id);
            return;
        }
        long untilNanos = clock.nowNanos() + graceNanos;
        pendingRemovalNanos.put(id, untilNanos);
        worker.schedule(
                () -> {
                    if (pendingRemovalNanos.remove(id, untilNanos)) {
                        remove(id);
                    }
                },
                graceNanos,
                TimeUnit.NANOSECONDS);
    }
}

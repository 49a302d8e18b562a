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
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.MonotonicClock;
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
    private final Set<AvailabilityZoneId> evacuatedZones = new HashSet<>();
    private final Set<UpstreamId> pendingRemovals = new HashSet<>();
    private final Map<UpstreamId, Registration> registrations = new HashMap<>();
    /** Upstreams of the list that is being applied. */
    private final Set<UpstreamId> listedUpstreams = new HashSet<>();

    private StoreSource lastSource;
    private volatile long revision;
    private volatile long changeRevision;
    private volatile long listRevision;
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
    }

    StoreMirror mirror() {
        return mirror;
    }

    /** Returns whether all items were listed at least once. */
    boolean isComplete() {
        return complete;
    }

    /** Returns the revision of the store up to which this replica has every change. */
    long revision() {
        return revision;
    }

    /**
     * Returns the revision of the newest change, other than repeated registrations. Registrations of the first list do
     * not count, since their revisions are those of the last repetition.
     */
    long changeRevision() {
        return changeRevision;
    }

    /** Returns the highest revision of the first list, 0 before it. */
    long listRevision() {
        return listRevision;
    }

    /** Applies the changes of a page that this replica does not have yet, and advances to the revision of the page. */
    void apply(StoreSource source, StorePage page) {
        lastSource = source;
        long appliedRevision = revision;
        for (StoreItem item : page.items()) {
            // A later page of a list may hold an item that is newer than the revision of the list.
            if (item.revision() > Math.max(appliedRevision, mirror.revisionOf(item.key()))) {
                apply(item, false);
            }
        }
        advance(page.revision());
    }

    /** Replaces all items by those of a list; of a later one only the differences count as changes. */
    void replace(ListRead list) {
        lastSource = list.source();
        mirror.beginReplacement();
        Set<AvailabilityZoneId> previousZones = Set.copyOf(evacuatedZones);
        evacuatedZones.clear();
        listedUpstreams.clear();
        list.items().forEach(item -> apply(item, true));
        if (mirror.completeReplacement(list.lowestRevision())) {
            changeRevision = Math.max(changeRevision, list.lowestRevision());
        }
        if (!previousZones.equals(evacuatedZones)) {
            fleetListener.onEvacuation(Set.copyOf(evacuatedZones));
        }
        Set<UpstreamId> missing = new HashSet<>(registrations.keySet());
        missing.removeAll(listedUpstreams);
        registrations.keySet().removeAll(missing);
        missing.forEach(this::removeAfterGracePeriod);
        if (!complete) {
            listRevision = list.highestRevision();
            complete = true;
        }
        advance(list.lowestRevision());
    }

    private void advance(long newRevision) {
        revision = Math.max(revision, newRevision);
        mirror.advance(revision);
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
            recordChange(item);
            logConfiguration(published);
            fleetListener.onConfiguration(published.configuration());
        } else if (update instanceof StoreUpdate.Evacuation evacuation) {
            recordChange(item);
            evacuate(evacuation);
        } else if (update instanceof StoreUpdate.Registered registered) {
            register(item, registered.registration(), isListed);
        } else if (update instanceof StoreUpdate.Unregistered unregistered) {
            recordChange(item);
            registrations.remove(unregistered.upstream());
            removeAfterGracePeriod(unregistered.upstream());
        }
    }

    private void recordChange(StoreItem item) {
        mirror.put(item, true);
        changeRevision = Math.max(changeRevision, item.revision());
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

    private void evacuate(StoreUpdate.Evacuation evacuation) {
        boolean hasChanged = evacuation.isEvacuated()
                ? evacuatedZones.add(evacuation.zone())
                : evacuatedZones.remove(evacuation.zone());
        if (hasChanged) {
            fleetListener.onEvacuation(Set.copyOf(evacuatedZones));
        }
    }

    private void register(StoreItem item, Registration registration, boolean isListed) {
        Registration previous = registrations.put(registration.id(), registration);
        boolean hasChanged = previous == null || !registration.equalsIgnoringWarmUp(previous);
        if (isListed) {
            listedUpstreams.add(registration.id());
        }
        if (hasChanged && complete) {
            recordChange(item);
        } else {
            mirror.put(item, hasChanged);
        }
        pendingRemovals.remove(registration.id());
        fleetListener.onRegistration(registration);
    }

    /** Removes an upstream, after an outage only when the grace period ends without a new registration. */
    private void removeAfterGracePeriod(UpstreamId id) {
        long graceNanos = contact.remainingGraceNanos();
        if (graceNanos <= 0) {
            fleetListener.onRemoval(id);
            return;
        }
        pendingRemovals.add(id);
        worker.schedule(
                () -> {
                    if (pendingRemovals.remove(id)) {
                        fleetListener.onRemoval(id);
                    }
                },
                graceNanos,
                TimeUnit.NANOSECONDS);
    }
}

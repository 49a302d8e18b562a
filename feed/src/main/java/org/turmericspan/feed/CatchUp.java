package org.turmericspan.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.ids.StorePosition;

/**
 * Reads changes from nodes that are known to have them, when the source of the feed does not deliver them. The load
 * pattern is a relay that has stopped responding while the rest of the fleet goes on.
 */
public final class CatchUp {
    /** Nodes remembered as having more; those that were heard of last are asked first. */
    private static final int MAX_NODES_AHEAD = 4;

    /** Reads at a time; another node is asked while the first has not responded. */
    private static final int MAX_READS = 2;

    private final StoreFeed feed;
    private final ChangeLimits limits;
    private final ScheduledExecutorService worker;
    private final List<NodeAhead> nodesAhead = new ArrayList<>();
    private boolean isCheckPending;
    private boolean isListPaused;
    private int readsInProgress;
    private volatile long reads;

    /**
     * Creates an object that knows of no node that is ahead.
     *
     * @param feed feed that gets the changes
     * @param limits limit of the whole path of a change
     * @param worker executor that runs the feed
     */
    public CatchUp(StoreFeed feed, ChangeLimits limits, ScheduledExecutorService worker) {
        this.feed = feed;
        this.limits = limits;
        this.worker = worker;
    }

    /**
     * Returns the number of reads of other nodes that were known to have more.
     *
     * @return number of reads, successful or not
     */
    public long reads() {
        return reads;
    }

    /**
     * Compares the replica of another node with that of this one: reads from it later if it is ahead, and takes over
     * the confirmation by the store if it is not.
     *
     * @param node address at which the node relays
     * @param state what the node tells of its replica
     */
    public void compare(SocketAddress node, ReplicaState state) {
        worker.execute(() -> compareNow(node, state));
    }

    private void compareNow(SocketAddress node, ReplicaState state) {
        if (!feed.isComplete()) {
            return;
        }
        StoreSource source = new StoreSource(node, StoreSource.Kind.NODE_AHEAD);
        if (state.era() == feed.position().era()
                && !isListPaused
                && feed.outOfBandReads().resolveDoubt(source, state.eraAgeMillis())) {
            pauseLists();
        }
        StorePosition newest = newestPosition(state);
        if (newest.isAfter(feed.position())) {
            nodesAhead.removeIf(known -> known.address().equals(node));
            nodesAhead.add(0, new NodeAhead(node, newest));
            if (nodesAhead.size() > MAX_NODES_AHEAD) {
                nodesAhead.remove(MAX_NODES_AHEAD);
            }
            if (newest.isInLaterEra(feed.position()) && state.eraAgeMillis() < ReplicaState.UNKNOWN_AGE_MILLIS) {
                // It has gone on to the era itself, so that it has the differences.
                check();
            } else {
                checkLater();
            }
            return;
        }
        if (state.era() != feed.position().era() || state.listPosition().isAfter(feed.position())) {
            return;
        }
        if (state.configurationVersion() > feed.configurationVersion()) {
            // A restored store has lost the newer configuration; it is no change that this node has yet to read.
            listBesides(source);
        }
        feed.confirm(state.confirmedAgeMillis() + limits.messageMillis());
    }

    /** Lists all items of a node; each node may call for it with each message, while the lists fail. */
    private void listBesides(StoreSource source) {
        if (!isListPaused && feed.outOfBandReads().list(source)) {
            pauseLists();
        }
    }

    private void pauseLists() {
        isListPaused = true;
        worker.schedule(this::endListPause, limits.changeLimitMillis() / 2, TimeUnit.MILLISECONDS);
    }

    private void endListPause() {
        isListPaused = false;
    }

    /** Returns the position of the newest change of a replica; in a later era, all that it has is one. */
    private StorePosition newestPosition(ReplicaState state) {
        return state.listPosition().isInLaterEra(feed.position())
                ? state.changePosition().max(state.listPosition())
                : state.changePosition();
    }

    private void checkLater() {
        if (!isCheckPending) {
            isCheckPending = true;
            worker.schedule(
                    () -> {
                        isCheckPending = false;
                        check();
                    },
                    limits.catchUpDelayMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        removeNodesNotAhead();
        if (nodesAhead.isEmpty()) {
            return;
        }
        if (readsInProgress < MAX_READS) {
            readFrom(nodesAhead.remove(0));
        }
        checkLater();
    }

    private void removeNodesNotAhead() {
        nodesAhead.removeIf(node -> !node.position().isAfter(feed.position()));
    }

    private void readFrom(NodeAhead node) {
        readsInProgress++;
        reads++;
        StoreSource source = new StoreSource(node.address(), StoreSource.Kind.NODE_AHEAD);
        feed.outOfBandReads().readChanges(source, result -> {
            readsInProgress--;
            removeNodesNotAhead();
            boolean isBehind = node.position().isAfter(feed.position());
            if (isBehind && nodesAhead.isEmpty() && result instanceof StoreReadResult.RevisionCompacted) {
                feed.outOfBandReads().listUnlessOthersDo(source, 0);
            }
            check();
        });
    }

    /** A node that has a change which this one has not. */
    private record NodeAhead(SocketAddress address, StorePosition position) {}
}

package org.turmericspan.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.turmericspan.messages.PeerMessage;

/**
 * Validates every offered list of VMs, whether it comes from a peer or from the platform, and stores the accepted list
 * as published, so that peers can fetch it.
 */
public final class ViewReceiver {
    private final ViewParser parser;
    private final ViewTable table;
    private final AtomicReference<PeerMessage.ViewDocument> document =
            new AtomicReference<>(new PeerMessage.ViewDocument(0, Optional.empty()));

    /**
     * Creates a receiver without a list.
     *
     * @param parser parses the lists
     * @param table table that stores the accepted view
     */
    public ViewReceiver(ViewParser parser, ViewTable table) {
        this.parser = parser;
        this.table = table;
    }

    /**
     * Validates a list and offers it to the table, which accepts it only when its revision is newer.
     *
     * @param revision revision of the list
     * @param text the list as published
     * @param age time since the list was confirmed to be current
     * @return true when it was accepted
     * @throws org.turmericspan.errors.BalancerException when the list is malformed
     */
    public boolean offer(long revision, String text, Duration age) {
        boolean accepted = table.offer(parser.parse(revision, text), age);
        if (accepted) {
            document.accumulateAndGet(
                    new PeerMessage.ViewDocument(revision, Optional.of(text)),
                    (current, newer) -> newer.revision() > current.revision() ? newer : current);
        }
        return accepted;
    }

    /**
     * Returns the accepted list as published.
     *
     * @return the list with its revision; revision 0 and no text before the first
     */
    public PeerMessage.ViewDocument document() {
        return document.get();
    }
}

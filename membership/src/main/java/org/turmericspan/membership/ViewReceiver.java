package org.turmericspan.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.turmericspan.messages.PeerMessage;

/** Checks every offered list of VMs, whichever way it came, and keeps the accepted one as published for the peers. */
public final class ViewReceiver {
    private final ViewReader reader;
    private final ViewTable table;
    private final AtomicReference<PeerMessage.ViewDocument> document =
            new AtomicReference<>(new PeerMessage.ViewDocument(0, Optional.empty()));

    /**
     * Creates an intake.
     *
     * @param reader reads lists
     * @param table takes what is accepted
     */
    public ViewReceiver(ViewReader reader, ViewTable table) {
        this.reader = reader;
        this.table = table;
    }

    /**
     * Offers a list.
     *
     * @param revision revision of the list
     * @param text the list as the platform holds it
     * @param age time since the platform confirmed it
     * @return true when it was accepted
     * @throws org.turmericspan.errors.BalancerException when the list has another form
     */
    public boolean offer(long revision, String text, Duration age) {
        boolean accepted = table.offer(reader.read(revision, text), age);
        if (accepted) {
            document.accumulateAndGet(
                    new PeerMessage.ViewDocument(revision, Optional.of(text)),
                    (kept, newer) -> newer.revision() > kept.revision() ? newer : kept);
        }
        return accepted;
    }

    /**
     * Returns the accepted list as published.
     *
     * @return the list with its revision
     */
    public PeerMessage.ViewDocument document() {
        return document.get();
    }
}

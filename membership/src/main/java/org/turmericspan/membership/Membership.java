package org.turmericspan.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.ConfigurationVersion;
import org.turmericspan.errors.BalancerException;
import org.turmericspan.ids.MonotonicClock;
import org.turmericspan.ids.VmId;
import org.turmericspan.messages.PeerLinks;
import org.turmericspan.messages.PeerMessage;
import org.turmericspan.tables.WorkerPool;

/** Spreads the configuration and the list of VMs between the nodes, and brings them into force. */
public final class Membership {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeIdentity identity;
    private final Documents documents;
    private final PeerTable peers;
    private final MonotonicClock clock;
    private final DocumentFetch<ConfigurationVersion> configurationFetch;
    private final DocumentFetch<Long> viewFetch;

    /**
     * Creates the spreading of documents.
     *
     * @param identity who this node is
     * @param documents tables and intakes of documents
     * @param peers what the other nodes last said
     * @param links links to them
     * @param workerPool runs the fetches
     * @param random spreads the fetches
     * @param clock measures waits
     */
    public Membership(
            NodeIdentity identity,
            Documents documents,
            PeerTable peers,
            PeerLinks links,
            WorkerPool workerPool,
            RandomGenerator random,
            MonotonicClock clock) {
        this.identity = identity;
        this.documents = documents;
        this.peers = peers;
        this.clock = clock;
        this.configurationFetch = new DocumentFetch<>(configurations(), links, workerPool, random, clock);
        this.viewFetch = new DocumentFetch<>(views(), links, workerPool, random, clock);
    }

    /** Fetches what is behind, and brings into force what has waited long enough. Called after each heartbeat. */
    public void reconcile() {
        configurationFetch.beginIfBehind();
        viewFetch.beginIfBehind();
        FleetView view = documents.views().current();
        List<VmId> listed = PeerSelection.sameRegion(view, configuration(), identity);
        ViewAgreement.agreedNanos(view.revision(), listed, peers).ifPresent(documents.views()::confirm);
        if (!documents.configurationReceiver().isOpen()) {
            openIfWaited(listed);
        }
    }

    /**
     * Answers a question for the configuration in force.
     *
     * @return the document
     */
    public CompletionStage<PeerMessage> activeConfigurationDocument() {
        String document = configuration().document();
        return CompletableFuture.completedFuture(
                new PeerMessage.ConfigurationDocument(document.isEmpty() ? Optional.empty() : Optional.of(document)));
    }

    /**
     * Answers a question for the accepted list of VMs.
     *
     * @return the list
     */
    public CompletionStage<PeerMessage> acceptedViewDocument() {
        return CompletableFuture.completedFuture(documents.viewReceiver().document());
    }

    private void openIfWaited(List<VmId> listed) {
        ConfigurationReceiver receiver = documents.configurationReceiver();
        if (StartupWait.isOver(receiver.highest(), receiver.knownSinceNanos(), listed, peers, clock.nowNanos())) {
            logger.atInfo().log(
                    "membership: takes configuration %d as the highest known",
                    receiver.highest().number());
            receiver.open();
        }
    }

    private Configuration configuration() {
        return documents.configurations().current();
    }

    private DocumentFetch.Document<ConfigurationVersion> configurations() {
        ConfigurationReceiver receiver = documents.configurationReceiver();
        return new DocumentFetch.Document<>(
                new PeerMessage.FetchConfiguration(),
                receiver::highest,
                () -> peers.all().stream()
                        .filter(peer -> !receiver.isRefused(peer.configuration().digest()))
                        .map(peer -> new FetchPlan.Offer<>(peer.vm(), peer.configuration()))
                        .toList(),
                this::takeConfiguration);
    }

    private DocumentFetch.Document<Long> views() {
        return new DocumentFetch.Document<>(
                new PeerMessage.FetchView(),
                () -> documents.views().current().revision(),
                () -> peers.all().stream()
                        .map(peer -> new FetchPlan.Offer<>(peer.vm(), peer.viewRevision()))
                        .toList(),
                this::takeView);
    }

    private boolean takeConfiguration(VmId peer, PeerMessage answer) {
        if (answer instanceof PeerMessage.ConfigurationDocument fetched
                && fetched.document().isPresent()) {
            ConfigurationReceiver.Outcome outcome =
                    documents.configurationReceiver().offer(fetched.document().get(), peer.value());
            return outcome == ConfigurationReceiver.Outcome.ACCEPTED || outcome == ConfigurationReceiver.Outcome.HELD;
        }
        return false;
    }

    private boolean takeView(VmId peer, PeerMessage answer) {
        if (!(answer instanceof PeerMessage.ViewDocument fetched)
                || fetched.text().isEmpty()) {
            return false;
        }
        Duration age = peers.find(peer)
                .map(state -> Duration.ofNanos(clock.nowNanos() - state.viewConfirmedNanos()))
                .orElse(Duration.ZERO);
        try {
            return documents
                    .viewReceiver()
                    .offer(fetched.revision(), fetched.text().get(), age);
        } catch (BalancerException e) {
            logger.atWarning().log("membership: refused the list of VMs from %s: %s", peer, e.getMessage());
            return false;
        }
    }

    /**
     * Tables and intakes of documents.
     *
     * @param configurations the configuration in force
     * @param configurationReceiver checks offered configurations
     * @param views the accepted view
     * @param viewReceiver checks offered lists
     */
    public record Documents(
            ConfigurationTable configurations,
            ConfigurationReceiver configurationReceiver,
            ViewTable views,
            ViewReceiver viewReceiver) {}
}

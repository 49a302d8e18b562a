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

/**
 * Distributes the configuration and the view (list of VMs) between the nodes, activates the newest configuration and
 * accepts the newest view.
 */
public final class Membership {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeIdentity identity;
    private final Documents documents;
    private final PeerTable peers;
    private final MonotonicClock clock;
    private final DocumentFetcher<ConfigurationVersion> configurationFetcher;
    private final DocumentFetcher<Long> viewFetcher;

    /**
     * Creates the membership of this node; nothing is fetched yet.
     *
     * @param identity identity of this node
     * @param documents tables and receivers of the configuration and the view
     * @param peers last reported states of the other nodes
     * @param links links to the other nodes
     * @param workerPool pool that runs the fetches
     * @param random source of the fetch jitter
     * @param clock measures waits and backoff
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
        this.configurationFetcher = new DocumentFetcher<>(configurationDocument(), links, workerPool, random, clock);
        this.viewFetcher = new DocumentFetcher<>(viewDocument(), links, workerPool, random, clock);
    }

    /**
     * Fetches a configuration or view that is newer at a peer, confirms the view as current if all nodes agree on it,
     * and activates a pending configuration once the startup synchronization is complete. To be called after each
     * heartbeat.
     */
    public void reconcile() {
        configurationFetcher.fetchIfBehind();
        viewFetcher.fetchIfBehind();
        FleetView view = documents.views().current();
        List<VmId> listedPeers = PeerSelection.sameRegion(view, activeConfiguration(), identity);
        ViewAgreement.agreedNanos(view.revision(), listedPeers, peers).ifPresent(documents.views()::confirm);
        if (!documents.configurationReceiver().isActive()) {
            activateAfterSync(listedPeers);
        }
    }

    /**
     * Returns the reply to a request for the active configuration.
     *
     * @return the reply, without a document when no configuration is active
     */
    public CompletionStage<PeerMessage> activeConfigurationDocument() {
        String document = activeConfiguration().document();
        return CompletableFuture.completedFuture(
                new PeerMessage.ConfigurationDocument(document.isEmpty() ? Optional.empty() : Optional.of(document)));
    }

    /**
     * Returns the reply to a request for the accepted view.
     *
     * @return the reply, with revision 0 and no text when no view is accepted
     */
    public CompletionStage<PeerMessage> acceptedViewDocument() {
        return CompletableFuture.completedFuture(documents.viewReceiver().document());
    }

    private void activateAfterSync(List<VmId> listedPeers) {
        ConfigurationReceiver receiver = documents.configurationReceiver();
        if (StartupSync.isComplete(
                receiver.newestVersion(), receiver.knownSinceNanos(), listedPeers, peers, clock.nowNanos())) {
            logger.atInfo().log(
                    "membership: activating configuration %d, the newest version known",
                    receiver.newestVersion().number());
            receiver.activate();
        }
    }

    private Configuration activeConfiguration() {
        return documents.configurations().current();
    }

    private DocumentFetcher.Document<ConfigurationVersion> configurationDocument() {
        ConfigurationReceiver receiver = documents.configurationReceiver();
        return new DocumentFetcher.Document<>(
                new PeerMessage.FetchConfiguration(),
                receiver::newestVersion,
                () -> peers.all().stream()
                        .filter(peer ->
                                !receiver.isRejected(peer.configuration().digest()))
                        .map(peer -> new FetchScheduler.Offer<>(peer.vm(), peer.configuration()))
                        .toList(),
                this::applyConfiguration);
    }

    private DocumentFetcher.Document<Long> viewDocument() {
        return new DocumentFetcher.Document<>(
                new PeerMessage.FetchView(),
                () -> documents.views().current().revision(),
                () -> peers.all().stream()
                        .map(peer -> new FetchScheduler.Offer<>(peer.vm(), peer.viewRevision()))
                        .toList(),
                this::applyView);
    }

    private boolean applyConfiguration(VmId peer, PeerMessage reply) {
        if (reply instanceof PeerMessage.ConfigurationDocument fetched
                && fetched.document().isPresent()) {
            ConfigurationReceiver.Outcome outcome =
                    documents.configurationReceiver().offer(fetched.document().get(), peer.value());
            return outcome == ConfigurationReceiver.Outcome.ACCEPTED
                    || outcome == ConfigurationReceiver.Outcome.PENDING;
        }
        return false;
    }

    private boolean applyView(VmId peer, PeerMessage reply) {
        if (!(reply instanceof PeerMessage.ViewDocument fetched)
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
            logger.atWarning().log("membership: rejected VM list from %s: %s", peer, e.getMessage());
            return false;
        }
    }

    /**
     * Tables and receivers of the configuration and the view.
     *
     * @param configurations table with the active configuration
     * @param configurationReceiver validates offered configurations
     * @param views table with the accepted view
     * @param viewReceiver validates offered lists of VMs
     */
    public record Documents(
            ConfigurationTable configurations,
            ConfigurationReceiver configurationReceiver,
            ViewTable views,
            ViewReceiver viewReceiver) {}
}

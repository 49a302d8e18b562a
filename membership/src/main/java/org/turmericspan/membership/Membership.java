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
import org.turmericspan.tables.Workers;

/** Spreads the configuration and the list of VMs between the nodes, and brings them into force. */
public final class Membership {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeIdentity identity;
    private final Accepted accepted;
    private final PeerTable peers;
    private final MonotonicClock clock;
    private final DocumentFetch<ConfigurationVersion> configurationFetch;
    private final DocumentFetch<Long> viewFetch;

    /**
     * Creates the spreading of documents.
     *
     * @param identity who this node is
     * @param accepted tables and intakes of documents
     * @param peers what the other nodes last said
     * @param links links to them
     * @param workers runs the fetches
     * @param random spreads the fetches
     * @param clock measures waits
     */
    public Membership(
            NodeIdentity identity,
            Accepted accepted,
            PeerTable peers,
            PeerLinks links,
            Workers workers,
            RandomGenerator random,
            MonotonicClock clock) {
        this.identity = identity;
        this.accepted = accepted;
        this.peers = peers;
        this.clock = clock;
        this.configurationFetch = new DocumentFetch<>(configurations(), links, workers, random, clock);
        this.viewFetch = new DocumentFetch<>(views(), links, workers, random, clock);
    }

    /** Fetches what is behind, and brings into force what has waited long enough. Called after each heartbeat. */
    public void review() {
        configurationFetch.beginIfBehind();
        viewFetch.beginIfBehind();
        FleetView view = accepted.views().current();
        List<VmId> listed = PeerSelection.sameRegion(view, configuration(), identity);
        ViewAgreement.agreedNanos(view.revision(), listed, peers).ifPresent(accepted.views()::confirm);
        if (!accepted.intake().isOpen()) {
            openIfWaited(listed);
        }
    }

    /**
     * Answers a question for the configuration in force.
     *
     * @return the document
     */
    public CompletionStage<PeerMessage> configurationInForce() {
        String document = configuration().document();
        return CompletableFuture.completedFuture(
                new PeerMessage.ConfigurationDocument(document.isEmpty() ? Optional.empty() : Optional.of(document)));
    }

    /**
     * Answers a question for the accepted list of VMs.
     *
     * @return the list
     */
    public CompletionStage<PeerMessage> acceptedView() {
        return CompletableFuture.completedFuture(accepted.viewIntake().document());
    }

    private void openIfWaited(List<VmId> listed) {
        ConfigurationIntake intake = accepted.intake();
        if (StartupWait.isOver(intake.highest(), intake.knownSinceNanos(), listed, peers, clock.nowNanos())) {
            logger.atInfo().log(
                    "membership: takes configuration %d as the highest known",
                    intake.highest().number());
            intake.open();
        }
    }

    private Configuration configuration() {
        return accepted.configurations().current();
    }

    private DocumentFetch.Document<ConfigurationVersion> configurations() {
        ConfigurationIntake intake = accepted.intake();
        return new DocumentFetch.Document<>(
                new PeerMessage.FetchConfiguration(),
                intake::highest,
                () -> peers.all().stream()
                        .filter(peer -> !intake.isRefused(peer.configuration().digest()))
                        .map(peer -> new FetchPlan.Offer<>(peer.vm(), peer.configuration()))
                        .toList(),
                this::takeConfiguration);
    }

    private DocumentFetch.Document<Long> views() {
        return new DocumentFetch.Document<>(
                new PeerMessage.FetchView(),
                () -> accepted.views().current().revision(),
                () -> peers.all().stream()
                        .map(peer -> new FetchPlan.Offer<>(peer.vm(), peer.viewRevision()))
                        .toList(),
                this::takeView);
    }

    private boolean takeConfiguration(VmId peer, PeerMessage answer) {
        if (answer instanceof PeerMessage.ConfigurationDocument fetched
                && fetched.document().isPresent()) {
            ConfigurationIntake.Outcome outcome =
                    accepted.intake().offer(fetched.document().get(), peer.value());
            return outcome == ConfigurationIntake.Outcome.ACCEPTED || outcome == ConfigurationIntake.Outcome.HELD;
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
            return accepted.viewIntake()
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
     * @param intake checks offered configurations
     * @param views the accepted view
     * @param viewIntake checks offered lists
     */
    public record Accepted(
            ConfigurationTable configurations, ConfigurationIntake intake, ViewTable views, ViewIntake viewIntake) {}
}

package org.turmericspan.feed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.turmericspan.feed.FleetFixture.at;
import static org.turmericspan.feed.FleetFixture.configuration;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.turmericspan.gossip.ReplicaState;
import org.turmericspan.ids.SocketAddress;

/** Guards against a configuration that a restoration of the store takes back to an older version. */
class RestoredConfigurationTest {
    private final FleetFixture node = new FleetFixture();

    @BeforeEach
    void start() {
        node.start(at(0, 100), configuration(78, at(0, 95)));
    }

    private List<String> relayedVersions() {
        return node.feed().mirror().snapshot(RelayStatus.STORE).items().stream()
                .filter(item -> item.key().equals(FleetFixture.CONFIGURATION))
                .map(item -> new String(item.value(), StandardCharsets.UTF_8))
                .toList();
    }

    @Test
    void listWithALowerVersionIsNotPutInForceNorRelayed() {
        node.restore(at(1, 80), configuration(77, at(1, 60)));
        assertThat(node.versions()).containsExactly(78L);
        assertThat(relayedVersions()).containsExactly("78");
        assertThat(node.feed().configurationVersion()).isEqualTo(78);
    }

    @Test
    void differencesWithALowerVersionAreNotPutInForceNorRelayed() {
        node.switchTo(FeedFixture.RELAY);
        node.complete(at(1, 80), configuration(77, at(1, 60)));
        assertThat(node.versions()).containsExactly(78L);
        assertThat(relayedVersions()).containsExactly("78");
    }

    @Test
    void versionThatIsWrittenAgainAndTheNextAreTaken() {
        node.restore(at(1, 80), configuration(77, at(1, 60)));
        node.complete(at(1, 81), configuration(78, at(1, 81)));
        node.complete(at(1, 83), configuration(80, at(1, 83)));
        assertThat(node.versions()).containsExactly(78L, 78L, 80L);
        assertThat(relayedVersions()).containsExactly("80");
    }

    @Test
    void lowerVersionThatIsWrittenLaterIsNotTakenEither() {
        node.restore(at(1, 80), configuration(76, at(1, 60)));
        node.complete(at(1, 81), configuration(77, at(1, 81)));
        assertThat(node.versions()).containsExactly(78L);
        assertThat(relayedVersions()).containsExactly("78");
    }

    /** The first list was stale and no part of the store's history. */
    @Test
    void versionOutlivesANewBeginning() {
        FleetFixture starting = new FleetFixture();
        starting.start(at(1, 100), configuration(78, at(1, 95)));
        starting.complete(at(1, 82));
        starting.complete(at(1, 82), configuration(77, at(1, 60)));
        assertThat(starting.versions()).containsExactly(78L);
        assertThat(starting.feed().position()).isEqualTo(at(1, 82));
        assertThat(starting.feed().configurationVersion()).isEqualTo(78);
    }

    @Test
    void listWithoutAConfigurationIsNotRelayedSo() {
        node.restore(at(1, 80));
        assertThat(node.versions()).containsExactly(78L);
        assertThat(relayedVersions()).containsExactly("78");
    }

    /** Its list is older whatever its version, and each node of the fleet would read it again and again. */
    @Test
    void nodeOfAnEarlierEraIsNotListedForItsVersion() {
        node.restore(at(1, 80), configuration(78, at(1, 60)));
        node.advance(node.limits().limit());
        CatchUp catchUp = new CatchUp(node.feed(), node.limits(), node.worker());
        SocketAddress other = new SocketAddress("10.0.0.1", 7_000);
        catchUp.compare(other, new ReplicaState(at(0, 102), at(0, 90), 0, 80));
        node.advance(Duration.ofMillis(1));
        assertThat(node.reader().count(StoreSource.Kind.NODE_AHEAD)).isZero();
        catchUp.compare(other, new ReplicaState(at(1, 80), at(0, 90), 0, 80));
        node.advance(Duration.ofMillis(1));
        assertThat(node.reader().count(StoreSource.Kind.NODE_AHEAD)).isEqualTo(1);
    }
}

package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.turmericspan.caps.CapLimits;
import org.turmericspan.feed.ChangeLimits;
import org.turmericspan.ids.AvailabilityZoneId;
import org.turmericspan.ids.SocketAddress;
import org.turmericspan.zones.CrossingCost;

class EntrySettingsTest {
    private static Properties validSettings() {
        Properties values = new Properties();
        values.setProperty("vm", "front-1");
        values.setProperty("availability-zone", "zone-a");
        for (String name : new String[] {"caller", "readiness", "directory", "metrics", "gossip", "store"}) {
            values.setProperty(name + "-address", "10.0.0.1:80");
        }
        for (String name : EntrySettings.NUMERIC_SETTINGS) {
            values.setProperty(name, "4");
        }
        values.setProperty("seeds", "10.0.0.7:1,10.0.0.8:1");
        return values;
    }

    @Test
    void emptySeedsAreAllowed() {
        Properties values = validSettings();
        values.setProperty("seeds", "");
        assertThat(EntrySettings.of(values).seedHosts()).isEmpty();
    }

    @Test
    void unknownSettingsAreIgnored() {
        Properties values = validSettings();
        values.setProperty("new-name", "x");
        assertThat(EntrySettings.of(values).seedHosts()).containsExactly("10.0.0.7", "10.0.0.8");
    }

    @Test
    void exceptionListsEveryInvalidSetting() {
        Properties values = validSettings();
        values.remove("vm");
        values.setProperty("grace-seconds", "soon");
        values.setProperty("store-address", "nowhere");
        assertThatThrownBy(() -> EntrySettings.of(values))
                .isInstanceOf(InvalidEntrySettingsException.class)
                .hasMessageContaining("vm")
                .hasMessageContaining("grace-seconds")
                .hasMessageContaining("store-address");
    }

    @Test
    void capsAreOptionalAndStatedByTheirWindow() {
        Properties values = validSettings();
        assertThat(EntrySettings.of(values).caps()).isEmpty();
        values.setProperty("cap-address", "10.0.0.1:81");
        values.setProperty("cap-window-seconds", "");
        values.setProperty("cap-overage", "");
        values.setProperty("cap-slack", "");
        assertThat(EntrySettings.of(values).caps()).isEmpty();
        values.setProperty("cap-window-seconds", "5");
        values.setProperty("cap-overage", "0.25");
        values.setProperty("cap-slack", "20");
        CapSettings caps = EntrySettings.of(values).caps().orElseThrow();
        assertThat(caps.address()).isEqualTo(new SocketAddress("10.0.0.1", 81));
        assertThat(caps.limits()).isEqualTo(new CapLimits(5_000_000_000L, 0.25, 20));
    }

    @Test
    void capsWithoutAllSettingsAreInvalid() {
        Properties values = validSettings();
        values.setProperty("cap-window-seconds", "0");
        values.setProperty("cap-slack", "-1");
        assertThatThrownBy(() -> EntrySettings.of(values))
                .isInstanceOf(InvalidEntrySettingsException.class)
                .hasMessageContaining("cap-window-seconds")
                .hasMessageContaining("cap-overage")
                .hasMessageContaining("cap-slack")
                .hasMessageContaining("cap-address");
    }

    @Test
    void changeLimitIsTwoSecondsUnlessStatedAndAtLeastOne() {
        Properties values = validSettings();
        assertThat(EntrySettings.of(values).changeLimits()).isEqualTo(new ChangeLimits(Duration.ofSeconds(2)));
        values.setProperty("change-limit-seconds", "2.5");
        assertThat(EntrySettings.of(values).changeLimits()).isEqualTo(new ChangeLimits(Duration.ofMillis(2_500)));
        values.setProperty("change-limit-seconds", "0.9");
        assertThatThrownBy(() -> EntrySettings.of(values))
                .isInstanceOf(InvalidEntrySettingsException.class)
                .hasMessageContaining("change-limit-seconds");
    }

    /** The deploy file passes the limit of the site, whose name the template of the settings does not have. */
    @Test
    void changeLimitOfTheEnvironmentCountsIfTheFileStatesNone(@TempDir Path folder) throws IOException {
        Path path = folder.resolve("settings");
        Properties values = validSettings();
        SettingsFile file =
                new SettingsFile(path, variable -> variable.equals("TURMERICSPAN_CHANGE_LIMIT_SECONDS") ? "2.5" : null);
        try (Writer writer = Files.newBufferedWriter(path)) {
            values.store(writer, null);
        }
        assertThat(file.read().changeLimits()).isEqualTo(new ChangeLimits(Duration.ofMillis(2_500)));
        values.setProperty("change-limit-seconds", "3");
        try (Writer writer = Files.newBufferedWriter(path)) {
            values.store(writer, null);
        }
        assertThat(file.read().changeLimits()).isEqualTo(new ChangeLimits(Duration.ofSeconds(3)));
    }

    /** Where a deployment has no caps, the deploy file passes them empty. */
    @Test
    void capsOfTheEnvironmentCountUnlessTheyAreEmpty(@TempDir Path folder) throws IOException {
        Path path = folder.resolve("settings");
        try (Writer writer = Files.newBufferedWriter(path)) {
            validSettings().store(writer, null);
        }
        assertThat(new SettingsFile(path, variable -> variable.contains("_CAP_") ? "" : null)
                        .read()
                        .caps())
                .isEmpty();
        Map<String, String> environment = Map.of(
                "TURMERICSPAN_CAP_ADDRESS", "10.0.0.1:7215",
                "TURMERICSPAN_CAP_WINDOW_SECONDS", "5",
                "TURMERICSPAN_CAP_OVERAGE", "0.25",
                "TURMERICSPAN_CAP_SLACK", "20",
                "TURMERICSPAN_ZONES", "a,b");
        assertThat(new SettingsFile(path, environment::get).read().caps())
                .contains(new CapSettings(
                        new SocketAddress("10.0.0.1", 7_215),
                        new CapLimits(TimeUnit.SECONDS.toNanos(5), 0.25, 20),
                        Set.of(new AvailabilityZoneId("a"), new AvailabilityZoneId("b")),
                        false));
    }

    @Test
    void zonesShareNoWorkUnlessTheSettingSaysSo() {
        Properties values = validSettings();
        assertThat(EntrySettings.of(values).crossingCost()).isEmpty();
        values.setProperty("zone-sharing", "off");
        assertThat(EntrySettings.of(values).crossingCost()).isEmpty();
        values.setProperty("zone-sharing", "on");
        assertThat(EntrySettings.of(values).crossingCost())
                .contains(new CrossingCost(30, Duration.ofMillis(4).toNanos()));
        values.setProperty("cross-zone-cost-percent", "80");
        values.setProperty("cross-zone-round-trip-ms", "7.8");
        assertThat(EntrySettings.of(values).crossingCost()).contains(new CrossingCost(80, 7_800_000));
    }

    @Test
    void invalidSettingsOfTheSharingOfWorkAreListed() {
        Properties values = validSettings();
        values.setProperty("zone-sharing", "yes");
        values.setProperty("cross-zone-cost-percent", "-1");
        values.setProperty("cross-zone-round-trip-ms", "soon");
        assertThatThrownBy(() -> EntrySettings.of(values))
                .isInstanceOf(InvalidEntrySettingsException.class)
                .hasMessageContaining("zone-sharing")
                .hasMessageContaining("cross-zone-cost-percent")
                .hasMessageContaining("cross-zone-round-trip-ms");
    }

    @Test
    void probesStayWithinHalfOfTheConfiguredRate() {
        Properties values = validSettings();
        values.setProperty("probes-per-second", "10");
        assertThat(EntrySettings.of(values).probeIntervalMillis()).isGreaterThanOrEqualTo(200);
    }

    @Test
    void nodeHasAWaitingRoomOnlyIfItsBoundIsStated() {
        Properties values = validSettings();
        assertThat(EntrySettings.of(values).waitingRoomRequests()).isZero();
        values.setProperty("waiting-room-requests", "64");
        assertThat(EntrySettings.of(values).waitingRoomRequests()).isEqualTo(64);
        for (String refused : List.of("0", "-1", "4097", "many")) {
            values.setProperty("waiting-room-requests", refused);
            assertThatThrownBy(() -> EntrySettings.of(values))
                    .isInstanceOf(InvalidEntrySettingsException.class)
                    .hasMessageContaining("waiting-room-requests");
        }
    }
}

package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Properties;
import org.junit.jupiter.api.Test;

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
    void probesStayWithinHalfOfTheConfiguredRate() {
        Properties values = validSettings();
        values.setProperty("probes-per-second", "10");
        assertThat(EntrySettings.of(values).probeIntervalMillis()).isGreaterThanOrEqualTo(200);
    }
}

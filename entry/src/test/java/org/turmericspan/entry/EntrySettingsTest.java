package org.turmericspan.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Properties;
import org.junit.jupiter.api.Test;

class EntrySettingsTest {
    private static Properties valid() {
        Properties values = new Properties();
        values.setProperty("vm", "front-1");
        values.setProperty("availability-zone", "zone-a");
        for (String name : new String[] {"caller", "readiness", "directory", "metrics", "gossip", "store"}) {
            values.setProperty(name + "-address", "10.0.0.1:80");
        }
        for (String name : EntrySettings.AGREED_NUMBERS) {
            values.setProperty(name, "4");
        }
        values.setProperty("seeds", "10.0.0.7:1,10.0.0.8:1");
        return values;
    }

    @Test
    void seedsMayBeEmpty() {
        Properties values = valid();
        values.setProperty("seeds", "");
        assertThat(EntrySettings.of(values).seedHosts()).isEmpty();
    }

    @Test
    void unknownNamesAreIgnored() {
        Properties values = valid();
        values.setProperty("new-name", "x");
        assertThat(EntrySettings.of(values).seedHosts()).containsExactly("10.0.0.7", "10.0.0.8");
    }

    @Test
    void everyFaultIsNamedAtOnce() {
        Properties values = valid();
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
    void probesStayWithinHalfOfTheAgreedRate() {
        Properties values = valid();
        values.setProperty("probes-per-second", "10");
        assertThat(EntrySettings.of(values).probeIntervalMillis()).isGreaterThanOrEqualTo(200);
    }
}

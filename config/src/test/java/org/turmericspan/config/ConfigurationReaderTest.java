package org.turmericspan.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.turmericspan.ids.ServiceId;

/** Tests which documents are accepted, and which object and field each fault names. */
final class ConfigurationReaderTest {
    private static final String ZONE = "{\"kind\": \"AvailabilityZone\", \"name\": \"zone-a\", \"region\": \"one\"}";
    private static final String SERVICE = "{\"kind\": \"Service\", \"name\": \"mixing\"}";

    private final ConfigurationReader reader = new ConfigurationReader();

    @Test
    void validSetIsAccepted() {
        Configuration configuration = reader.read(document(ZONE, SERVICE, upstream("mixing-1", "10.0.0.1:80")));

        assertThat(configuration.version().number()).isEqualTo(3);
        assertThat(configuration.services().get(new ServiceId("mixing")).slotsPerUpstream())
                .isEqualTo(3);
        assertThat(ConfigurationWarnings.find(configuration)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'kind': 'Zone', 'name': 'z'} | Zone z | kind",
                "{'kind': 'Service'} | Service  | name",
                "{'kind': 'Service', 'name': 7} | Service  | name",
                "{'kind': 'Service', 'name': 'Mixing'} | Service Mixing | name",
                "{'kind': 'Service', 'name': 's', 'slots': 3} | Service s | slots",
                "{'kind': 'Service', 'name': 's', 'slots_per_upstream': 0} | Service s | slots_per_upstream",
                "{'kind': 'Service', 'name': 's', 'slots_per_upstream': '3'} | Service s | slots_per_upstream",
                "{'kind': 'Service', 'name': 's', 'queue_limit': 1e9} | Service s | queue_limit",
                "{'kind': 'Service', 'name': 's', 'queue_limit': 99999999999} | Service s | queue_limit",
                "{'kind': 'Service', 'name': 's', 'cold_requests': 4} | Service s | cold_requests",
                "{'kind': 'Vm', 'name': 'v', 'state': 'off'} | Vm v | state",
                "{'kind': 'Rule', 'name': 'r', 'service': 'x', 'method': 'GET'} | Rule r | service",
                "{'kind': 'Rule', 'name': 'r', 'service': 'x', 'method': 'get'} | Rule r | method",
                "{'kind': 'Rule', 'name': 'r', 'service': 'x', 'method': 'GET', 'idempotent': 1} | Rule r | idempotent",
                "{'kind': 'Rule', 'name': 'r', 'service': 'x', 'method': 'GET', 'path_prefix': '/a%62'}"
                        + " | Rule r | path_prefix",
                "{'kind': 'AvailabilityZone', 'name': 'z'} | AvailabilityZone z | region",
            })
    void faultNamesItsObjectAndField(String object, String displayName, String field) {
        assertThat(rejection(document(object.replace('\'', '"'))).faults())
                .first()
                .satisfies(fault -> {
                    assertThat(fault.object().strip()).isEqualTo(displayName.strip());
                    assertThat(fault.field()).isEqualTo(field);
                });
    }

    @Test
    void allFaultsOfASetAreListedTogether() {
        InvalidConfigurationException rejection = rejection(
                document(ZONE, ZONE, upstream("a", "10.0.0.1:80"), upstream("b", "10.0.0.1:80"), "{\"kind\": \"Vm\"}"));

        assertThat(rejection.faults().stream().map(fault -> fault.object().strip() + "/" + fault.field()))
                .containsExactlyInAnyOrder(
                        "AvailabilityZone zone-a/name",
                        "Upstream a/service",
                        "Upstream b/service",
                        "Upstream b/address",
                        "Vm/name");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{'version': 1, 'objects': []} trailing",
                "{'version': 1, 'version': 2, 'objects': []}",
                "{'version': 0, 'objects': []}",
                "{'version': 1.5, 'objects': []}",
                "{'version': 1}",
                "{'version': 1, 'objects': {}, 'extra': 1}",
                "[]",
                "''",
            })
    void malformedDocumentIsRejected(String document) {
        assertThat(rejection(document.replace('\'', '"')).faults()).hasSize(1);
    }

    @Test
    void documentOverOneMebibyteIsRejected() {
        assertThat(rejection(" ".repeat(ConfigurationReader.MAX_DOCUMENT_BYTES + 1))
                        .getMessage())
                .contains("is larger than 1048576 bytes");
    }

    @Test
    void serviceWithoutUpstreamGivesAWarning() {
        assertThat(ConfigurationWarnings.find(reader.read(document(SERVICE))))
                .extracting(Fault::object)
                .containsExactly("Service mixing");
    }

    @Test
    void bundleDoesNotDependOnTheOrderOfObjects() {
        String first = Bundle.write(reader.objects(document(ZONE, SERVICE)), 9);
        String second = Bundle.write(reader.objects(document(SERVICE, ZONE)), 9);

        assertThat(first).isEqualTo(second);
        assertThat(reader.read(first).version().number()).isEqualTo(9);
    }

    private InvalidConfigurationException rejection(String document) {
        return catchThrowableOfType(InvalidConfigurationException.class, () -> reader.read(document));
    }

    private static String document(String... objects) {
        return "{\"version\": 3, \"objects\": [" + String.join(",", objects) + "]}";
    }

    private static String upstream(String name, String address) {
        return "{\"kind\": \"Upstream\", \"name\": \"" + name + "\", \"service\": \"mixing\", "
                + "\"availability_zone\": \"zone-a\", \"address\": \"" + address + "\"}";
    }
}

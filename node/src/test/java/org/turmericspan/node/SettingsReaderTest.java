package org.turmericspan.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.Map;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import org.junit.jupiter.api.Test;

/** Tests precedence and validation of settings, and that error messages never contain secrets. */
final class SettingsReaderTest {
    private static final String KEY = "a-key-of-twenty-chars";

    @Test
    void flagOverridesEnvironmentVariable() throws ArgumentParserException {
        NodeSettings settings = new SettingsReader(Map.of("TURMERICSPAN_WORKER_THREADS", "7", "TURMERICSPAN_VM", "two"))
                .read(CommandLine.parse("--vm", "one", "--availability-zone", "zone-a", "--deployment-key", KEY));

        assertThat(settings.vm()).hasToString("one");
        assertThat(settings.workerThreads()).isEqualTo(7);
        assertThat(settings.logFormat()).isEqualTo("plain");
    }

    @Test
    void allErrorsAreReportedTogetherWithNameValueAndAllowedValues() {
        InvalidSettingsException exception = readInvalid(
                "--vm=One", "--worker-threads=0", "--log-format=xml", "--caller-address=example.org:80", "--speed=9");

        assertThat(exception.errors().stream().map(SettingError::toString))
                .containsExactly(
                        "2001 --vm (TURMERICSPAN_VM) is 'One': takes 1 to 63 lower-case letters, digits and hyphens",
                        "2001 --availability-zone (TURMERICSPAN_AVAILABILITY_ZONE) is missing: "
                                + "takes 1 to 63 lower-case letters, digits and hyphens",
                        "2001 --caller-address (TURMERICSPAN_CALLER_ADDRESS) is 'example.org:80': takes IP:PORT with "
                                + "an IP number and a port from 1 to 65535; IPv6 numbers stand in brackets",
                        "2001 --deployment-key (TURMERICSPAN_DEPLOYMENT_KEY) is missing: takes 16 to 256 characters",
                        "2001 --worker-threads (TURMERICSPAN_WORKER_THREADS) is '0': takes a whole number from 1 to 64",
                        "2001 --log-format (TURMERICSPAN_LOG_FORMAT) is 'xml': takes one of plain, json",
                        "2001 --speed is not a setting: see --help");
    }

    @Test
    void secretIsNeverPrinted() {
        assertThat(readInvalid("--deployment-key", "hush").getMessage())
                .contains("is hidden")
                .doesNotContain("hush");
    }

    @Test
    void duplicateListenAddressIsRejected() {
        assertThat(readInvalid("--operator-address=127.0.0.1:8080").getMessage())
                .contains("--operator-address (TURMERICSPAN_OPERATOR_ADDRESS) is the same as --caller-address");
    }

    private static InvalidSettingsException readInvalid(String... arguments) {
        return catchThrowableOfType(
                InvalidSettingsException.class, () -> new SettingsReader(Map.of()).read(CommandLine.parse(arguments)));
    }
}

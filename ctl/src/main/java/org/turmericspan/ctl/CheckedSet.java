package org.turmericspan.ctl;

import java.nio.file.Path;
import java.util.List;
import org.turmericspan.config.Bundle;
import org.turmericspan.config.Configuration;
import org.turmericspan.config.ConfigurationReader;
import org.turmericspan.config.ConfigurationWarnings;
import org.turmericspan.config.Fault;
import org.turmericspan.config.InvalidConfigurationException;
import org.turmericspan.config.ObjectSet;

/**
 * Result of validating a configuration set.
 *
 * @param document the bundle, empty when the set has faults
 * @param digest digest of the bundle, empty when the set has faults
 * @param objects number of objects
 * @param faults every fault found
 * @param warnings valid settings that are probably mistakes
 */
record CheckedSet(String document, String digest, int objects, List<Fault> faults, List<Fault> warnings) {
    /** Bundles the set at a path and validates it with the checks that nodes apply. */
    static CheckedSet read(Path path, long version) {
        ObjectSet set;
        try {
            set = SetSource.read(path);
        } catch (InvalidConfigurationException e) {
            return rejected(0, e.faults());
        }
        try {
            ConfigurationReader reader = new ConfigurationReader();
            reader.check(set, "");
            String document = Bundle.write(set, version);
            Configuration configuration = reader.read(document);
            return new CheckedSet(
                    document,
                    configuration.version().digest(),
                    set.objects().size(),
                    List.of(),
                    ConfigurationWarnings.find(configuration));
        } catch (InvalidConfigurationException e) {
            return rejected(set.objects().size(), e.faults());
        }
    }

    private static CheckedSet rejected(int objects, List<Fault> faults) {
        return new CheckedSet("", "", objects, faults, List.of());
    }

    boolean isValid() {
        return faults.isEmpty();
    }

    void printDiagnostics(Output output) {
        faults.forEach(fault -> output.diagnostic("fault: " + fault));
        warnings.forEach(warning -> output.diagnostic("warning: " + warning));
    }
}

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
 * A set after its checks.
 *
 * @param document the bundle, empty when the set has faults
 * @param digest digest of the bundle, empty when the set has faults
 * @param objects number of objects
 * @param faults every fault
 * @param warnings what the set probably does not mean
 */
record CheckedSet(String document, String digest, int objects, List<Fault> faults, List<Fault> warnings) {
    /** Bundles and checks what a path holds, as nodes will check it. */
    static CheckedSet read(Path path, long version) {
        ObjectSet set;
        try {
            set = SetSource.read(path);
        } catch (InvalidConfigurationException e) {
            return refused(0, e.faults());
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
            return refused(set.objects().size(), e.faults());
        }
    }

    private static CheckedSet refused(int objects, List<Fault> faults) {
        return new CheckedSet("", "", objects, faults, List.of());
    }

    boolean isValid() {
        return faults.isEmpty();
    }

    void complain(Output output) {
        faults.forEach(fault -> output.complain("fault: " + fault));
        warnings.forEach(warning -> output.complain("warning: " + warning));
    }
}

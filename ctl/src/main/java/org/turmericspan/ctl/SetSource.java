package org.turmericspan.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.turmericspan.config.ConfigurationReader;
import org.turmericspan.config.DirectoryLoader;
import org.turmericspan.config.ObjectSet;

/** Reads a configuration set from a directory of YAML files or from a bundle. */
final class SetSource {
    private SetSource() {}

    static ObjectSet read(Path path) {
        try {
            if (!Files.exists(path)) {
                throw new NoSuchFileException(path.toString());
            }
            return Files.isDirectory(path)
                    ? new DirectoryLoader().load(path)
                    : new ConfigurationReader().objects(Files.readString(path));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

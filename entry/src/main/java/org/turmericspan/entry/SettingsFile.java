package org.turmericspan.entry;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The file from which settings are read, at the start and whenever it changes. */
public final class SettingsFile {
    private final Path path;

    /**
     * Names the file.
     *
     * @param path where it is
     */
    public SettingsFile(Path path) {
        this.path = path;
    }

    /**
     * Reads and checks the file.
     *
     * @return the settings
     * @throws IOException when the file cannot be read
     */
    public EntrySettings read() throws IOException {
        Properties values = new Properties();
        try (Reader reader = Files.newBufferedReader(path, StandardCharsets.UTF_8)) {
            values.load(reader);
        }
        return EntrySettings.of(values);
    }
}

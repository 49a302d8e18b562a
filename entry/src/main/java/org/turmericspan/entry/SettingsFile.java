package org.turmericspan.entry;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The file from which settings are read, at the start and whenever it changes. */
public final class SettingsFile {
    private final Path path;
    private String content = "";

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
        content = Files.readString(path);
        Properties values = new Properties();
        values.load(new StringReader(content));
        return EntrySettings.of(values);
    }

    /**
     * Tells whether the file has changed since it was read last.
     *
     * @return whether its text differs
     * @throws IOException when the file cannot be read
     */
    public boolean hasChanged() throws IOException {
        return !Files.readString(path).equals(content);
    }
}

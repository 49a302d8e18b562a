package org.turmericspan.entry;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The settings file, which is read at the start and after each change. */
public final class SettingsFile {
    private final Path path;
    private String content = "";

    /**
     * Creates a settings file without reading it.
     *
     * @param path path of the file
     */
    public SettingsFile(Path path) {
        this.path = path;
    }

    /**
     * Reads and validates the file.
     *
     * @return the settings
     * @throws IOException when the file cannot be read
     * @throws InvalidEntrySettingsException when settings are missing or invalid
     */
    public EntrySettings read() throws IOException {
        content = Files.readString(path);
        Properties values = new Properties();
        values.load(new StringReader(content));
        return EntrySettings.of(values);
    }

    /**
     * Returns whether the file has changed since it was last read.
     *
     * @return true when its content differs
     * @throws IOException when the file cannot be read
     */
    public boolean hasChanged() throws IOException {
        return !Files.readString(path).equals(content);
    }
}

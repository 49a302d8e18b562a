package org.turmericspan.entry;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Properties;
import java.util.function.UnaryOperator;

/** The settings file, which is read at the start and after each change. */
public final class SettingsFile {
    /** Begins the environment variables that state settings which the file does not. */
    private static final String VARIABLE_PREFIX = "TURMERICSPAN_";

    private final Path path;
    private final UnaryOperator<String> environment;
    private String content = "";

    /**
     * Creates a settings file without reading it.
     *
     * @param path path of the file
     */
    public SettingsFile(Path path) {
        this(path, System::getenv);
    }

    /**
     * Creates a settings file with an environment, without reading the file.
     *
     * @param path path of the file
     * @param environment returns the value of an environment variable, or null
     */
    SettingsFile(Path path, UnaryOperator<String> environment) {
        this.path = path;
        this.environment = environment;
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
        for (String name : EntrySettings.ENVIRONMENT_SETTINGS) {
            String value = environment.apply(variableOf(name));
            if (value != null && !value.isBlank()) {
                values.putIfAbsent(name, value);
            }
        }
        return EntrySettings.of(values);
    }

    private static String variableOf(String setting) {
        return VARIABLE_PREFIX + setting.toUpperCase(Locale.ROOT).replace('-', '_');
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

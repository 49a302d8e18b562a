package org.turmericspan.entry;

import java.util.List;

/** Thrown when settings are missing or invalid. The message lists every error. */
public final class InvalidEntrySettingsException extends RuntimeException {
    /**
     * Creates an exception with a list of errors.
     *
     * @param errors a description of each error, which names the setting
     */
    public InvalidEntrySettingsException(List<String> errors) {
        super(String.join("; ", errors));
    }
}

package org.turmericspan.entry;

import java.util.List;

/** Thrown when settings are missing or cannot be read; it names every fault. */
public final class InvalidEntrySettingsException extends RuntimeException {
    /**
     * Creates an exception.
     *
     * @param faults one sentence each
     */
    public InvalidEntrySettingsException(List<String> faults) {
        super(String.join("; ", faults));
    }
}

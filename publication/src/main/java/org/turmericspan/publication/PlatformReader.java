package org.turmericspan.publication;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Reads and watches values of the platform. Each call counts as one read. */
@FunctionalInterface
public interface PlatformReader {
    /**
     * Waits for a value newer than a revision.
     *
     * @param key name of the value
     * @param afterRevision revision already known; 0 reads at once
     * @param wait how long the platform may hold the call
     * @return the newer value, or empty when there was none; the stage fails when the platform cannot be read
     */
    CompletionStage<Optional<PlatformValue>> watch(String key, long afterRevision, Duration wait);
}

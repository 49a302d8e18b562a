package org.turmericspan.publication;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

/** Reads values from the platform by long polling. Each call counts as one read. */
@FunctionalInterface
public interface PlatformReader {
    /**
     * Waits for a value newer than a revision.
     *
     * @param key key of the value
     * @param afterRevision last known revision; 0 returns the value at once
     * @param wait longest time for which the platform may delay its response
     * @return the newer value, or empty when there was none; the stage fails when the platform cannot be read
     */
    CompletionStage<Optional<PlatformValue>> watch(String key, long afterRevision, Duration wait);
}

package org.turmericspan.standins.upstream;

import java.time.Duration;

/**
 * How a stand-in upstream behaves.
 *
 * @param slots requests it runs at a time when warm
 * @param queueLimit requests it queues beyond its slots before it sheds
 * @param coldRequests requests it bears at a time when cold
 * @param warmAfter requests finished after which it is warm
 * @param restartTime how long it is gone after a crash
 */
record UpstreamSettings(int slots, int queueLimit, int coldRequests, int warmAfter, Duration restartTime) {}

package org.turmericspan.caps;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FleetContactTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final FleetContact contact = new FleetContact(0);

    @Test
    void holdsNothingUntilInTouchOrLongAlone() {
        assertThat(contact.mayHold(1, 14 * SECOND)).isFalse();
        assertThat(contact.sizeToTell(1, 14 * SECOND)).isZero();
        assertThat(contact.mayHold(1, 15 * SECOND)).isTrue();
    }

    @Test
    void holdsAtOnceWhenTheWholeFleetStarts() {
        contact.establish();
        assertThat(contact.mayHold(1, 0)).isTrue();
        assertThat(contact.sizeToTell(7, 0)).isEqualTo(7);
    }

    @Test
    void nodesThatAreNotInTouchThemselvesDoNotCount() {
        contact.heard(0, 0);
        assertThat(contact.mayHold(100, 0)).isFalse();
    }

    @Test
    void holdsNothingWhileItKnowsFarFewerNodesThanOthers() {
        contact.heard(119, 0);
        assertThat(contact.mayHold(107, SECOND)).isFalse();
        assertThat(contact.mayHold(108, SECOND)).isTrue();
    }

    @Test
    void smallerFleetCountsAfterSomeTime() {
        contact.heard(119, 0);
        contact.heard(60, 5 * SECOND);
        assertThat(contact.mayHold(60, 5 * SECOND)).isFalse();
        contact.heard(60, 11 * SECOND);
        assertThat(contact.mayHold(60, 11 * SECOND)).isTrue();
    }
}

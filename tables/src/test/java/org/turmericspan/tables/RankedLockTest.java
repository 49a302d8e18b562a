package org.turmericspan.tables;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against deadlocks of threads that acquire the same two locks in different order: a lock can only be acquired
 * after those of earlier ranks.
 */
final class RankedLockTest {
    private static final Pattern ROW = Pattern.compile("^\\| `([A-Z]+)` \\|.*", Pattern.MULTILINE);

    @Test
    void laterRankCanBeAcquiredWhileAnEarlierOneIsHeld() {
        RankedLock view = new RankedLock(LockRank.VIEW);
        RankedLock slots = new RankedLock(LockRank.SLOTS);

        assertThat(view.<String>compute(() -> slots.compute(() -> "taken"))).isEqualTo("taken");
    }

    @Test
    void earlierRankIsRejectedWhileALaterOneIsHeld() {
        RankedLock view = new RankedLock(LockRank.VIEW);
        RankedLock slots = new RankedLock(LockRank.SLOTS);

        assertThatThrownBy(() -> slots.run(() -> view.run(() -> {})))
                .isInstanceOf(IllegalStateException.class)
                .hasMessage("Lock VIEW must not be taken while SLOTS is held");
    }

    @Test
    void sameRankIsRejected() {
        RankedLock slots = new RankedLock(LockRank.SLOTS);

        assertThatThrownBy(() -> slots.run(() -> slots.run(() -> {}))).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void lockIsReleasedWhenItsActionThrows() {
        RankedLock slots = new RankedLock(LockRank.SLOTS);

        assertThatThrownBy(() -> slots.run(() -> {
                    throw new IllegalArgumentException("thrown by the action");
                }))
                .isInstanceOf(IllegalArgumentException.class);
        assertThat(slots.<String>compute(() -> "taken")).isEqualTo("taken");
    }

    @Test
    void designPageListsTheRanksInTheirOrder() throws IOException {
        String page = Files.readString(Path.of(System.getProperty("turmericspan.root", ".."), "docs", "DESIGN.md"));
        Matcher rows = ROW.matcher(page.substring(page.indexOf("## Lock order")));
        List<String> listed = rows.results().map(row -> row.group(1)).toList();

        assertThat(listed)
                .isEqualTo(Stream.of(LockRank.values()).map(Enum::name).toList());
    }
}

package org.turmericspan.testkit;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.InvocationInterceptor.Invocation;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.junit.jupiter.api.io.TempDir;
import org.opentest4j.TestAbortedException;

/** The list of tests that may fail. */
final class KnownRedTest {
    @TempDir
    private Path folder;

    @Test
    void listedTestThatFailsIsPassedOver() throws IOException {
        assertThatThrownBy(() -> run(listWith("test: KnownRedTest#toString"), KnownRedTest::fail))
                .isInstanceOf(TestAbortedException.class);
    }

    @Test
    void listedTestThatPassesFailsTheBuild() throws IOException {
        assertThatThrownBy(() -> run(listWith("test: KnownRedTest#toString"), () -> null))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("remove its entry");
    }

    @Test
    void unlistedTestThatFailsStaysAFailure() throws IOException {
        assertThatThrownBy(() -> run(listWith("test: KnownRedTest#another"), KnownRedTest::fail))
                .isInstanceOf(AssertionError.class)
                .hasMessage("red");
    }

    @Test
    void testListedAsFailingAtTimesMayPass() {
        assertThatCode(() -> run(listWith("at times: KnownRedTest#toString: red"), () -> null))
                .doesNotThrowAnyException();
    }

    @Test
    void testListedAsFailingAtTimesIsPassedOverWithItsMessage() throws IOException {
        assertThatThrownBy(() -> run(listWith("at times: KnownRedTest#toString: red"), KnownRedTest::fail))
                .isInstanceOf(TestAbortedException.class);
    }

    @Test
    void testListedAsFailingAtTimesMayNotFailInAnotherWay() throws IOException {
        assertThatThrownBy(() -> run(listWith("at times: KnownRedTest#toString: not back"), KnownRedTest::fail))
                .isInstanceOf(AssertionError.class)
                .hasMessage("red");
    }

    @Test
    void everyTestIsUnlistedWhenThereIsNoList() {
        assertThatCode(() -> run(folder.resolve("none"), () -> null)).doesNotThrowAnyException();
    }

    private static Void fail() {
        throw new AssertionError("red");
    }

    private Path listWith(String entry) throws IOException {
        return Files.writeString(folder.resolve("KNOWN-RED.txt"), entry + "\n  seed: 1\n");
    }

    private static void run(Path list, Invocation<Void> test) throws Throwable {
        new KnownRed(list).interceptTestMethod(test, new NamedTest(), null);
    }

    /** Says that the running test is {@code KnownRedTest#toString}. */
    private static final class NamedTest implements ReflectiveInvocationContext<Method> {
        @Override
        public Class<?> getTargetClass() {
            return KnownRedTest.class;
        }

        @Override
        public Method getExecutable() {
            try {
                return Object.class.getMethod("toString");
            } catch (NoSuchMethodException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public List<Object> getArguments() {
            return List.of();
        }

        @Override
        public Optional<Object> getTarget() {
            return Optional.empty();
        }
    }
}

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

/**
 * Guards against known failures that fail the build, and against entries in the list that hide other failures or stay
 * after the test was fixed.
 */
final class KnownRedTest {
    @TempDir
    private Path directory;

    @Test
    void failingListedTestIsAborted() throws IOException {
        assertThatThrownBy(() -> run(listWith("test: KnownRedTest#toString"), KnownRedTest::fail))
                .isInstanceOf(TestAbortedException.class);
    }

    @Test
    void passingListedTestFailsTheBuild() throws IOException {
        assertThatThrownBy(() -> run(listWith("test: KnownRedTest#toString"), () -> null))
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("remove its entry");
    }

    @Test
    void failingUnlistedTestFailsTheBuild() throws IOException {
        assertThatThrownBy(() -> run(listWith("test: KnownRedTest#another"), KnownRedTest::fail))
                .isInstanceOf(AssertionError.class)
                .hasMessage("red");
    }

    @Test
    void flakyTestMayPass() {
        assertThatCode(() -> run(listWith("at times: KnownRedTest#toString: red"), () -> null))
                .doesNotThrowAnyException();
    }

    @Test
    void flakyTestThatFailsWithListedMessageIsAborted() throws IOException {
        assertThatThrownBy(() -> run(listWith("at times: KnownRedTest#toString: red"), KnownRedTest::fail))
                .isInstanceOf(TestAbortedException.class);
    }

    @Test
    void flakyTestThatFailsWithOtherMessageFailsTheBuild() throws IOException {
        assertThatThrownBy(() -> run(listWith("at times: KnownRedTest#toString: not back"), KnownRedTest::fail))
                .isInstanceOf(AssertionError.class)
                .hasMessage("red");
    }

    /** Guards against listed parameterized tests whose failure still fails the build. */
    @Test
    void failingListedParameterizedTestIsAborted() throws IOException {
        KnownRed knownRed = new KnownRed(listWith("at times: KnownRedTest#toString: red"));
        assertThatThrownBy(() ->
                        knownRed.interceptTestTemplateMethod(KnownRedTest::fail, new FakeInvocationContext(), null))
                .isInstanceOf(TestAbortedException.class);
    }

    @Test
    void passingTestPassesWithoutListFile() {
        assertThatCode(() -> run(directory.resolve("none"), () -> null)).doesNotThrowAnyException();
    }

    private static Void fail() {
        throw new AssertionError("red");
    }

    private Path listWith(String entry) throws IOException {
        return Files.writeString(directory.resolve("KNOWN-RED.txt"), entry + "\n  seed: 1\n");
    }

    private static void run(Path listFile, Invocation<Void> test) throws Throwable {
        new KnownRed(listFile).interceptTestMethod(test, new FakeInvocationContext(), null);
    }

    /** Invocation context that names {@code KnownRedTest#toString} as the running test. */
    private static final class FakeInvocationContext implements ReflectiveInvocationContext<Method> {
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

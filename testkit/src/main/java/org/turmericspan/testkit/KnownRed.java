package org.turmericspan.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Lets exactly the tests listed in {@code KNOWN-RED.txt} fail. A listed test that fails is printed and skipped; a
 * listed test that passes fails the build, so that its entry is removed. An entry is a line that begins with
 * {@code test: Class#method}.
 */
public final class KnownRed implements InvocationInterceptor {
    private static final String ROOT_PROPERTY = "turmericspan.root";
    private static final String ENTRY_PREFIX = "test: ";

    private final Path list;

    /** Creates the check for the list at the root of the workspace. */
    public KnownRed() {
        this(Path.of(System.getProperty(ROOT_PROPERTY, "."), "KNOWN-RED.txt"));
    }

    KnownRed(Path list) {
        this.list = list;
    }

    @Override
    public void interceptTestMethod(
            Invocation<Void> invocation, ReflectiveInvocationContext<Method> method, ExtensionContext context)
            throws Throwable {
        String name = method.getTargetClass().getSimpleName() + "#"
                + method.getExecutable().getName();
        if (!entries().contains(ENTRY_PREFIX + name)) {
            invocation.proceed();
            return;
        }
        expectFailure(invocation, name);
    }

    private static void expectFailure(Invocation<Void> invocation, String name) {
        try {
            invocation.proceed();
        } catch (Throwable e) {
            System.out.println("KNOWN-RED " + name + ": " + e.getMessage());
            throw new TestAbortedException("listed in KNOWN-RED.txt", e);
        }
        throw new AssertionError(name + " passes: remove its entry from KNOWN-RED.txt");
    }

    private List<String> entries() {
        if (!Files.exists(list)) {
            return List.of();
        }
        try {
            return Files.readAllLines(list).stream().map(String::strip).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}

package org.turmericspan.standins.fleet;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of the fleet, started on the class path of the current process. Signals go to its process id only. */
public final class ChildProcess implements AutoCloseable {
    private static final long STOP_TIMEOUT_SECONDS = 20;
    private static final String MAX_HEAP_FLAG = "-Xmx128m";
    /** Log lines shown in a diagnosis; enough for a stack trace and the events before it. */
    private static final int DIAGNOSIS_LINES = 40;

    private final String name;
    private final List<String> command;
    private final Path log;
    private Process process;

    private ChildProcess(String name, List<String> command, Path log) {
        this.name = name;
        this.command = command;
        this.log = log;
    }

    /**
     * Prepares a Java process without starting it.
     *
     * @param name name of the process, which begins the name of its log file
     * @param mainClass class with the main method
     * @param arguments command line arguments
     * @return a process that has not been started
     */
    public static ChildProcess create(String name, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                MAX_HEAP_FLAG,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=" + System.getProperty("turmericspan.tier", "4"),
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        return new ChildProcess(name, command, logFile(name));
    }

    /** Kills all descendants of the current process, for use in a shutdown hook. */
    public static void endAll() {
        ProcessHandle.current().descendants().forEach(ProcessHandle::destroyForcibly);
    }

    /** Starts the process, or restarts it with the same command line after it has exited. */
    public void start() {
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())))
                    .start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the process id.
     *
     * @return process id
     */
    public long pid() {
        return process.pid();
    }

    /**
     * Returns whether the process is running.
     *
     * @return false after it has exited
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns the exit code of a process that has exited.
     *
     * @return exit code
     */
    public int exitCode() {
        return process.exitValue();
    }

    /**
     * Describes the process for the message of a failed test.
     *
     * @return whether it is running or its exit code, and the last lines of its log
     */
    public String diagnosis() {
        String status = process.isAlive() ? "is running" : "exited with code " + process.exitValue();
        try {
            List<String> lines = Files.readAllLines(log);
            List<String> last = lines.subList(Math.max(0, lines.size() - DIAGNOSIS_LINES), lines.size());
            return name + " " + status + "; last lines of its log:\n" + String.join("\n", last);
        } catch (IOException e) {
            return name + " " + status + "; its log cannot be read: " + e;
        }
    }

    /** Requests a graceful stop with SIGTERM and waits until the process exits; kills it on a timeout. */
    public void stop() {
        process.destroy();
        awaitExit();
    }

    /** Requests a graceful stop with SIGTERM without waiting. */
    public void requestStop() {
        process.destroy();
    }

    /** Kills the process with SIGKILL and waits until it has exited. */
    public void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Suspends the process with SIGSTOP. */
    public void freeze() {
        signal("-STOP");
    }

    /** Resumes a suspended process with SIGCONT. */
    public void thaw() {
        signal("-CONT");
    }

    @Override
    public void close() {
        if (process != null && process.isAlive()) {
            thaw();
            process.destroyForcibly();
            awaitExit();
        }
    }

    @Override
    public String toString() {
        return name;
    }

    private void signal(String signal) {
        try {
            new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitExit() {
        try {
            if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Path logFile(String name) {
        try {
            Path directory = Files.createDirectories(Path.of("target", "fleet"));
            return directory.resolve(name + "-" + ProcessHandle.current().pid() + ".log");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
